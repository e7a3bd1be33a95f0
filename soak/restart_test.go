package soak

import (
	"testing"
	"time"
)

// After a loss of all processes at once, each gate must serve again without a
// request from outside, and requests that arrive before its configuration must be
// held and served rather than refused; none that was refused may have run.
func TestRestartOfAll(t *testing.T) {
	times, err := MeasureRestarts(t.Context(), Config{BinDir: buildPrograms(t), Dir: t.TempDir()}, 1)
	if err != nil {
		t.Fatal(err)
	}
	if _, n := times.Median("first served request"); n != gateCount {
		t.Errorf("%d of %d gates served after the restart:\n%v", n, gateCount, times)
	}
	// An election after a restart takes at least one election timeout.
	if times.longest("wait of served") < 100*time.Millisecond {
		t.Errorf("no request was held and served:\n%v", times)
	}
}
