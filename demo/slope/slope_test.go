package slope

import (
	"io"
	"math"
	"net"
	"os"
	"testing"
)

// A wrong fit would put wrong slopes into docs/CAPACITY.md.
func TestFit(t *testing.T) {
	tests := map[string]struct {
		points      []point
		slope, base float64
	}{
		"line":     {[]point{{1, 5}, {4, 11}, {16, 35}}, 2, 3},
		"constant": {[]point{{1, 7}, {2, 7}, {3, 7}}, 0, 7},
		"one size": {[]point{{8, 3}, {8, 5}}, 0, 4},
		"none":     {nil, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			slope, base := fit(test.points)
			if math.Abs(slope-test.slope) > 1e-9 || math.Abs(base-test.base) > 1e-9 {
				t.Errorf("got slope %g and base %g, want %g and %g", slope, base, test.slope, test.base)
			}
		})
	}
}

func TestMedian(t *testing.T) {
	for name, test := range map[string]struct {
		list []float64
		want float64
	}{
		"odd": {[]float64{9, 1, 5}, 5}, "even": {[]float64{4, 1, 2, 100}, 3}, "none": {nil, 0},
	} {
		if got := median(test.list); got != test.want {
			t.Errorf("%s: got %g, want %g", name, got, test.want)
		}
	}
}

// Uncounted bytes would make links look cheaper than they are.
func TestMeter(t *testing.T) {
	near, far := net.Pipe()
	m := &meter{}
	c := m.wrap(near)
	go func() {
		_, _ = io.ReadFull(far, make([]byte, 10))
		_, _ = far.Write(make([]byte, 7))
	}()
	for range 2 {
		if _, err := c.Write(make([]byte, 5)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := io.ReadFull(c, make([]byte, 7)); err != nil {
		t.Fatal(err)
	}
	if u := m.usage(false); u.Sent != 10 || u.Writes != 2 || u.Received != 7 {
		t.Errorf("got %d bytes in %d writes and %d bytes back, want 10 in 2 and 7", u.Sent, u.Writes, u.Received)
	}
}

// The fields of /proc/PID/stat must be counted from the end of the process name.
func TestProcessUsage(t *testing.T) {
	_, resident, err := processUsage(os.Getpid())
	if err != nil {
		t.Skip("no processor time in /proc:", err)
	}
	if resident < 1<<20 || resident > 1<<40 {
		t.Errorf("got %d bytes of resident memory, want a plausible number", resident)
	}
}
