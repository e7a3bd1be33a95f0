package slope

import (
	"context"
	"time"
)

// rate is the use of one process per second, or per item.
type rate struct{ cpu, sent, received, writes float64 } // cpu in microseconds

// usageRate returns the use between two readings, divided by per.
func usageRate(a, b Usage, per float64) rate {
	return rate{
		cpu:  float64((b.CPU - a.CPU).Microseconds()) / per,
		sent: float64(b.Sent-a.Sent) / per, received: float64(b.Received-a.Received) / per, writes: float64(b.Writes-a.Writes) / per,
	}
}

// measureIdle measures this process, followed by the children, in several idle
// windows, and returns the medians.
func measureIdle(ctx context.Context, p Plan, m *meter, children []*child) ([]rate, error) {
	windows := make([][]rate, len(children)+1)
	for range p.Windows {
		before, err := allUsages(m, children, "cpu")
		if err != nil {
			return nil, err
		}
		start := time.Now()
		if err := sleep(ctx, p.Window); err != nil {
			return nil, err
		}
		after, err := allUsages(m, children, "cpu")
		if err != nil {
			return nil, err
		}
		took := time.Since(start).Seconds()
		for i := range after {
			windows[i] = append(windows[i], usageRate(before[i], after[i], took))
		}
	}
	medians := make([]rate, len(windows))
	for i, list := range windows {
		medians[i] = medianRate(list)
	}
	return medians, nil
}

// allUsages returns the usage of this process, followed by that of the children.
func allUsages(m *meter, children []*child, what string) ([]Usage, error) {
	list := []Usage{m.usage(what == "heap")}
	for _, c := range children {
		u, err := c.usage(what)
		if err != nil {
			return nil, err
		}
		list = append(list, u)
	}
	return list, nil
}

// medianRate returns the median of each field.
func medianRate(list []rate) rate {
	medianOf := func(field func(rate) float64) float64 {
		var values []float64
		for _, r := range list {
			values = append(values, field(r))
		}
		return median(values)
	}
	return rate{
		cpu: medianOf(func(r rate) float64 { return r.cpu }), sent: medianOf(func(r rate) float64 { return r.sent }),
		received: medianOf(func(r rate) float64 { return r.received }), writes: medianOf(func(r rate) float64 { return r.writes }),
	}
}
