package conf

import (
	_ "embed" // for the state chart

	"citronledge.example/core/chart"
)

//go:embed rollout.yaml
var rolloutFile []byte

var rolloutChart = chart.MustParse(rolloutFile)

// RolloutChart returns the state chart of a roll-out. Its states are phases;
// its events are start, step, halt, resume, finish and revert.
func RolloutChart() *chart.Chart { return rolloutChart }
