package relay_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"citronledge.example/core/ident"
	"citronledge.example/core/plan"
	"citronledge.example/gate/fleet"
	"citronledge.example/stub/runner"
)

// A server that refused a connection must count as cold when it is back under its
// ID at its address, and other gates must be told.
func TestServerBackAfterCrash(t *testing.T) {
	r := newRig(t, runner.OK("done"), runner.OK("done"))
	r.fleet.SetColdRules(map[ident.Service]plan.Service{service: {Cold: plan.Cold{Duration: time.Minute, Rate: 11}}})
	addr := r.runners[0].Addr()
	r.runners[0].Close()
	sent := 0
	r.until("a refused connection", func() bool {
		sent++
		r.send("POST", "/safe/x", fmt.Sprint("a", sent), nil)
		return len(r.fleet.Colds()) > 0
	})
	if got := r.fleet.Colds()[0]; !got.Down || got.Server != fleet.HashBackend("s0") {
		t.Errorf("got %+v for other gates, want s0 as down", got)
	}
	back, err := runner.StartAt(addr, runner.OK("done"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(back.Close)
	// This gate does not know the others, so its share is nothing.
	for i := range 40 {
		if got := r.send("POST", "/safe/x", fmt.Sprint("b", i), nil); got.status != 200 {
			t.Errorf("request %d: got status %d, want 200 of the other server", i, got.status)
		}
	}
	if got := len(back.Requests()); got > 0 {
		t.Errorf("got %d requests at the server that is back", got)
	}
}

// The cold time that an answer names must hold from then on, and be told to other
// gates.
func TestAnswerNamesColdTime(t *testing.T) {
	r := newRig(t, func(c net.Conn, q *runner.Request) bool {
		return runner.Write(c, runner.ResponseHead(200, q, "Cold-Ms: 30000\r\nContent-Length: 2\r\n\r\nok"))
	}, runner.OK("done"))
	r.fleet.SetColdRules(map[ident.Service]plan.Service{service: {Cold: plan.Cold{Duration: time.Minute, Rate: 11}}})
	sent := 0
	r.until("an answer with a cold time", func() bool {
		sent++
		r.send("POST", "/safe/x", fmt.Sprint("a", sent), nil)
		return len(r.fleet.Colds()) > 0
	})
	if got := r.fleet.Colds()[0]; got.Down || got.Left > 30*time.Second || got.Left < 20*time.Second {
		t.Errorf("got %+v for other gates, want s0 as cold for 30 s", got)
	}
	for i := range 40 {
		r.send("POST", "/safe/x", fmt.Sprint("b", i), nil)
	}
	if got := len(r.runners[0].Requests()); got != 1 {
		t.Errorf("got %d requests at the cold server, want only the one whose answer named it", got)
	}
}
