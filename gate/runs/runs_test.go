package runs

import "testing"

// TestWordOfOneServer guards against one server's word "not run" that clears the
// attempt at another one, or counts twice.
func TestWordOfOneServer(t *testing.T) {
	var c Count
	first := c.Begin()
	if got := c.MayHaveRun(); !got {
		t.Error("got false before the first byte of an attempt, want true")
	}
	second := c.Begin()
	second.SetNotRun()
	second.SetNotRun()
	if got := c.N(); got != 1 || !first.MayHaveRun() || second.MayHaveRun() {
		t.Errorf("got %d attempts that may have run, first %v, second %v, want the first", got, first.MayHaveRun(), second.MayHaveRun())
	}
	first.SetNotRun()
	if got := c.MayHaveRun(); got {
		t.Error("got true after both servers have said that they did not run the request")
	}
}
