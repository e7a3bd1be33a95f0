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

// Stage is the phase of the roll-out of a service's version.
type Stage string

// Stages of a Shift; shift.yaml holds the chart.
const (
	// Canary: a fixed share of the new sessions tries the version.
	Canary Stage = "canary"
	// Moving: all new sessions get the version, running work on others ends.
	Moving Stage = "moving"
	// Complete: only the version serves.
	Complete Stage = "complete"
	// Withdrew: the version serves no request.
	Withdrew Stage = "withdrew"
)

// Shift is the roll-out of a version of a service's software.
type Shift struct {
	Target ident.Version `json:"target"`
	// Duration in milliseconds is the time from the order to its deadline.
	Duration uint64 `json:"duration"`
	Stage    Stage  `json:"stage"`
	Reason   string `json:"reason,omitempty"`
	// Began is the ledger's time of the order in ms since the Unix epoch.
	Began uint64 `json:"began"`
	// Number counts the orders for the service.
	Number int `json:"number"`
}

// Length returns the time from the order to its deadline.
func (s Shift) Length() time.Duration { return time.Duration(s.Duration) * time.Millisecond }

// Ended tells whether the roll-out is over.
func (s Shift) Ended() bool { return s.Stage == Complete || s.Stage == Withdrew }

//go:embed shift.yaml
var shiftFile []byte

var shiftChart = chart.MustParse(shiftFile)

// ShiftChart returns the state chart of the roll-out of a service's version.
// Its states are stages; its events are order, move, complete and withdraw.
func ShiftChart() *chart.Chart { return shiftChart }
