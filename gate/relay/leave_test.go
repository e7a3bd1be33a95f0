package relay_test

import (
	"fmt"
	"net"
	"testing"

	"citronledge.example/stub/runner"
)

// A server whose answers say that it leaves gets no more requests, though the
// list of backend servers still calls it ready.
func TestServerThatSaysItLeaves(t *testing.T) {
	leaving := func(c net.Conn, q *runner.Request) bool {
		return runner.Write(c, runner.ResponseHead(200, q, "Server-Leaving: 1\r\nContent-Length: 2\r\n\r\nok"))
	}
	r := newRig(t, leaving, runner.OK("ok"))
	r.fleet.Update(r.list[:1])
	r.send("GET", "/safe/x", "first", nil)
	r.fleet.Update(r.list)
	const requests = 20
	for i := range requests {
		if got := r.send("GET", "/safe/x", fmt.Sprint("r", i), nil); got.status != 200 {
			t.Fatalf("request %d: got status %d, want 200", i, got.status)
		}
	}
	if got := len(r.runners[0].Requests()); got != 1 {
		t.Errorf("the leaving server got %d requests, want only the first", got)
	}
}
