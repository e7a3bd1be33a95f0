package relay

import (
	"errors"
	"net/http/httptest"
	"testing"

	"citronledge.example/core/plan"
	"citronledge.example/gate/conn"
	"citronledge.example/gate/fleet"
)

// HoldMutex takes the mutex that all requests take, until release is called.
func (r *Relay) HoldMutex() (release func()) {
	r.mu.Lock()
	return r.mu.Unlock
}

// Guards against an answer that begins though the planned stop has ended its request, and
// is cut in the middle.
func TestAnswerAfterStop(t *testing.T) {
	for name, begin := range map[string]func(x *attempt) bool{
		"stream": func(x *attempt) bool { return errors.Is(x.writeEvents(nil, &conn.Answer{}, nil), errStopping) },
		"body": func(x *attempt) bool {
			next, outcome := x.relayLong(&conn.Answer{Length: 1 << 30}, nil)
			return next == decision(giveUp{errStopping.Error()}) && outcome == fleet.Neutral
		},
	} {
		w := httptest.NewRecorder()
		w.Code = 0
		x := &attempt{call: &call{w: w, route: &plan.Route{}, keepPastStop: func() bool { return false }}}
		if !begin(x) || x.headSent || len(w.Header()) > 0 || w.Code != 0 || w.Body.Len() > 0 {
			t.Errorf("%s: got the answer %d %q, want that the planned stop ended it", name, w.Code, w.Body)
		}
	}
}
