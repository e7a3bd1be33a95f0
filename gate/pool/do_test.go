package pool

import (
	"testing"

	"citronledge.example/core/fault"
	"citronledge.example/core/wire"
)

// TestContradictedEnd guards against an end that says "not run" and is believed,
// though a part of an answer or the end of the server's connection came before it.
func TestContradictedEnd(t *testing.T) {
	busy := wire.NewFault(fault.New(fault.Busy, "full"))
	for name, x := range map[string]struct {
		headSeen bool
		end      *wire.End
		want     bool
	}{
		"not run":             {end: &wire.End{Fault: busy}},
		"run":                 {end: &wire.End{Fault: busy, Ran: true}, want: true},
		"not run, after head": {headSeen: true, end: &wire.End{Fault: busy}, want: true},
		"not run, but broke":  {end: &wire.End{Fault: busy, Broke: true}, want: true},
	} {
		r := replyReader{ctx: t.Context(), headSeen: x.headSeen, outcome: Outcome{MayHaveRun: true}}
		if err := r.end(x.end); err == nil || r.outcome.MayHaveRun != x.want {
			t.Errorf("%s: got %v, may have run: %v, want a fault and %v", name, err, r.outcome.MayHaveRun, x.want)
		}
	}
}
