// Package slope measures how the cost of each process grows with the number of
// processes that it is connected to. It uses real sessions on loopback; its results
// are the source of docs/CAPACITY.md.
//
// One end of the links runs in this process and the other in a child process,
// so that processor time and memory of both ends are measured separately.
package slope

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"
)

// Plan configures a run.
type Plan struct {
	// Window is the duration of one measurement. Each size has Windows of them, and
	// their median is the result.
	Window  time.Duration
	Windows int
	// Executable is the path of a program that calls RunChild when its first
	// argument is "child".
	Executable string
	// BinDir is the folder of the programs, for the request path.
	BinDir string
	// ExamplesDir is the folder of the example settings.
	ExamplesDir string
	Out         io.Writer
}

// Part runs one group of measurements.
type Part func(ctx context.Context, p Plan) error

// Parts are all parts by name.
var Parts = map[string]Part{
	"links": MeasureLinks, "gates": MeasureGates, "start": MeasureStart, "lease": MeasureLeases, "bills": MeasureBills, "tokens": MeasureTokens,
}

// PartOrder is the order in which the parts run.
var PartOrder = []string{"links", "gates", "start", "lease", "bills", "tokens"}

// point is one value at one size.
type point struct {
	size  int
	value float64
}

// table collects the values of a part and prints them.
type table struct {
	p      Plan
	part   string
	names  []string
	points map[string][]point
	units  map[string]string
}

func newTable(p Plan, part string) *table {
	return &table{p: p, part: part, points: map[string][]point{}, units: map[string]string{}}
}

// add prints a value and stores it for printFits.
func (t *table) add(name, unit string, size int, value float64) {
	if _, ok := t.units[name]; !ok {
		t.names = append(t.names, name)
	}
	t.units[name] = unit
	t.points[name] = append(t.points[name], point{size, value})
	_, _ = fmt.Fprintf(t.p.Out, "part=%s name=%s size=%d value=%.4g unit=%s\n", t.part, name, size, value, unit)
}

// printFits prints the line through the points of each name.
func (t *table) printFits() {
	for _, name := range t.names {
		slope, base := fit(t.points[name])
		_, _ = fmt.Fprintf(t.p.Out, "part=%s name=%s slope=%.4g base=%.4g unit=%s\n", t.part, name, slope, base, t.units[name])
	}
}

// fit returns the least-squares line through the points.
func fit(list []point) (slope, base float64) {
	var x, y, xx, xy float64
	n := float64(len(list))
	for _, p := range list {
		s := float64(p.size)
		x, y, xx, xy = x+s, y+p.value, xx+s*s, xy+s*p.value
	}
	d := n*xx - x*x
	if d == 0 {
		return 0, y / max(n, 1)
	}
	slope = (n*xy - x*y) / d
	return slope, (y - slope*x) / n
}

func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	if n := len(sorted); n%2 == 0 {
		return (sorted[n/2-1] + sorted[n/2]) / 2
	}
	return sorted[len(sorted)/2]
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
