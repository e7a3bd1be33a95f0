package slope

import (
	"context"
	"time"
)

// rate is the use of one process per second, or per item.
type rate struct{ cpu, sent, got, writes float64 } // cpu in microseconds

func between(a, b Usage, per float64) rate {
	return rate{
		cpu:  float64((b.CPU - a.CPU).Microseconds()) / per,
		sent: float64(b.Sent-a.Sent) / per, got: float64(b.Received-a.Received) / per, writes: float64(b.Writes-a.Writes) / per,
	}
}

// watch measures this process and then the children at rest, in several
// windows, and returns the medians.
func watch(ctx context.Context, p Plan, m *meter, children []*child) ([]rate, error) {
	windows := make([][]rate, len(children)+1)
	for range p.Windows {
		before, err := all(m, children, "cpu")
		if err != nil {
			return nil, err
		}
		start := time.Now()
		if err := sleep(ctx, p.Window); err != nil {
			return nil, err
		}
		after, err := all(m, children, "cpu")
		if err != nil {
			return nil, err
		}
		took := time.Since(start).Seconds()
		for i := range after {
			windows[i] = append(windows[i], between(before[i], after[i], took))
		}
	}
	out := make([]rate, len(windows))
	for i, list := range windows {
		out[i] = middle(list)
	}
	return out, nil
}

func all(m *meter, children []*child, what string) ([]Usage, error) {
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

func middle(list []rate) rate {
	pick := func(f func(rate) float64) float64 {
		var values []float64
		for _, r := range list {
			values = append(values, f(r))
		}
		return median(values)
	}
	return rate{
		cpu: pick(func(r rate) float64 { return r.cpu }), sent: pick(func(r rate) float64 { return r.sent }),
		got: pick(func(r rate) float64 { return r.got }), writes: pick(func(r rate) float64 { return r.writes }),
	}
}
