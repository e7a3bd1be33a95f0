package conf

import (
	_ "embed" // for the state chart
	"encoding/json"
	"time"

	"citronledge.example/core/chart"
	"citronledge.example/core/ident"
)

// Document is a configuration that an operator replaces as a whole, under a
// version that the operator counts.
type Document struct {
	Version uint64 `json:"version"`
	// Digest is the hex SHA-256 of the document as it was sent.
	Digest string `json:"digest"`
	// Body is the document, without insignificant white space.
	Body json.RawMessage `json:"body"`
}

// ServiceRolloutStage is the phase of the roll-out of a service's version.
type ServiceRolloutStage string

// Stages of a Shift; shift.yaml holds the chart.
const (
	// StageCanary: a fixed share of the new sessions tries the version.
	StageCanary ServiceRolloutStage = "canary"
	// StageMoving: all new sessions get the version, running work on others ends.
	StageMoving ServiceRolloutStage = "moving"
	// StageComplete: only the version serves.
	StageComplete ServiceRolloutStage = "complete"
	// StageWithdrawn: the version serves no request.
	StageWithdrawn ServiceRolloutStage = "withdrew"
)

// ServiceRollout is the roll-out of a version of a service's software.
type ServiceRollout struct {
	Target ident.Version `json:"target"`
	// DurationMillis in milliseconds is the time from the order to its deadline.
	DurationMillis uint64              `json:"duration"`
	Stage          ServiceRolloutStage `json:"stage"`
	Reason         string              `json:"reason,omitempty"`
	// OrderedAtMillis is the ledger's time of the order in ms since the Unix epoch.
	OrderedAtMillis uint64 `json:"began"`
	// Number counts the orders for the service.
	Number int `json:"number"`
}

// Duration returns the time from the order to its deadline.
func (s ServiceRollout) Duration() time.Duration {
	return time.Duration(s.DurationMillis) * time.Millisecond
}

// HasEnded tells whether the roll-out is over.
func (s ServiceRollout) HasEnded() bool { return s.Stage == StageComplete || s.Stage == StageWithdrawn }

//go:embed shift.yaml
var shiftFile []byte

var shiftChart = chart.MustParse(shiftFile)

// ServiceRolloutChart returns the state chart of the roll-out of a service's version.
// Its states are stages; its events are order, move, complete and withdraw.
func ServiceRolloutChart() *chart.Chart { return shiftChart }
