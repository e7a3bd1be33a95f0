package conf

import (
	_ "embed" // for the state chart

	"citronledge.example/core/chart"
)

//go:embed rollout.yaml
var rolloutChartYAML []byte

var rolloutChart = chart.MustParse(rolloutChartYAML)

// RolloutChart returns the state chart of a rollout. Its states are phases; its
// events are start, step, halt, resume, finish and revert.
func RolloutChart() *chart.Chart { return rolloutChart }
