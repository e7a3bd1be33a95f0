package crash

import (
	"context"
	"testing"
	"time"
)

// Guards against taking a broken answer of a live server for a crash, and the end of a
// process for a broken answer.
func TestJudge(t *testing.T) {
	for name, x := range map[string]struct {
		end  End
		want map[Probe]Verdict
	}{
		"no answer, new connection":          {End{}, map[Probe]Verdict{Refused: Crashed, Ended: Unclear, Open: Crashed, Unknown: Crashed}},
		"no answer, kept connection":         {End{Reused: true}, map[Probe]Verdict{Refused: Crashed, Ended: Unclear, Open: Unclear, Unknown: Unclear}},
		"no answer, had run":                 {End{Reused: true, Ran: minRunTime}, map[Probe]Verdict{Refused: Crashed, Ended: Unclear, Open: Crashed, Unknown: Crashed}},
		"head of a stream":                   {End{Progress: Head}, map[Probe]Verdict{Refused: Crashed, Ended: Crashed, Open: Crashed, Unknown: Crashed}},
		"part of an answer":                  {End{Progress: Part, Ran: time.Second}, map[Probe]Verdict{Refused: Crashed, Ended: Unclear, Open: Alive, Unknown: Unclear}},
		"part of an answer, kept connection": {End{Progress: Part, Reused: true}, map[Probe]Verdict{Refused: Crashed, Ended: Unclear, Open: Alive, Unknown: Unclear}},
	} {
		for p, want := range x.want {
			if got := x.end.Judge(p); got != want {
				t.Errorf("%s, probe %v: got %d, want %d", name, p, got, want)
			}
		}
	}
}

// Guards against missing a process that is still ending when it is probed first.
func TestLateCrash(t *testing.T) {
	for name, x := range map[string]struct {
		probes []Probe // one after the other
		want   bool
	}{
		"refuses at once":       {[]Probe{Refused}, true},
		"refuses a little late": {[]Probe{Ended, Refused}, true},
		"refuses late":          {[]Probe{Unknown, Ended, Refused}, true},
		"too many connections":  {[]Probe{Ended, Ended, Ended}, false},
		"lives":                 {[]Probe{Open, Refused}, false},
	} {
		n := 0
		probe := func(context.Context) Probe { n++; return x.probes[n-1] }
		if got := (End{Progress: Part}).HasCrashed(t.Context(), probe); got != x.want {
			t.Errorf("%s: got crashed %v, want %v", name, got, x.want)
		}
	}
}
