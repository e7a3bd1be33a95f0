package conf

import (
	_ "embed" // for the state chart
	"encoding/json"
	"time"

	"citronledge.example/core/chart"
	"citronledge.example/core/ident"
)

// Document is a configuration that an operator replaces as a whole, under a version
// number that the operator assigns.
type Document struct {
	Version uint64 `json:"version"`
	// Digest is the hex SHA-256 digest of the document as it was sent.
	Digest string `json:"digest"`
	// Body is the document without insignificant white space.
	Body json.RawMessage `json:"body"`
}

// ServiceRolloutStage is the stage of a service rollout.
type ServiceRolloutStage string

// Stages of a service rollout; shift.yaml holds the state chart.
const (
	// StageCanary: a fixed share of the new sessions gets the version.
	StageCanary ServiceRolloutStage = "canary"
	// StageMoving: all new sessions get the version; work in flight on other
	// versions finishes.
	StageMoving ServiceRolloutStage = "moving"
	// StageComplete: only the version serves requests.
	StageComplete ServiceRolloutStage = "complete"
	// StageWithdrawn: the version serves no requests.
	StageWithdrawn ServiceRolloutStage = "withdrew"
)

// ServiceRollout is the rollout of a version of a service's software.
type ServiceRollout struct {
	Target ident.Version `json:"target"`
	// DurationMillis is the time from the order to its deadline.
	DurationMillis uint64              `json:"duration"`
	Stage          ServiceRolloutStage `json:"stage"`
	Reason         string              `json:"reason,omitempty"`
	// OrderedAtMillis is the ledger's time of the order, in ms since the Unix epoch.
	OrderedAtMillis uint64 `json:"began"`
	// Number is the order's number; the orders of a service are counted from 1.
	Number int `json:"number"`
}

// Duration returns the time from the order to its deadline.
func (s ServiceRollout) Duration() time.Duration {
	return time.Duration(s.DurationMillis) * time.Millisecond
}

// HasEnded reports whether the rollout is complete or withdrawn.
func (s ServiceRollout) HasEnded() bool { return s.Stage == StageComplete || s.Stage == StageWithdrawn }

//go:embed shift.yaml
var serviceRolloutChartYAML []byte

var serviceRolloutChart = chart.MustParse(serviceRolloutChartYAML)

// ServiceRolloutChart returns the state chart of a service rollout. Its states are
// stages; its events are order, move, complete and withdraw.
func ServiceRolloutChart() *chart.Chart { return serviceRolloutChart }
