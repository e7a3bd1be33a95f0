package relay_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"citronledge.example/stub/runner"
)

// limited answers a request and names a limit of requests a second.
func limited(limit string) runner.Reply {
	return func(c net.Conn, r *runner.Request) bool {
		return runner.Write(c, runner.ResponseHead(200, r, "Server-Limit: "+limit+"\r\nContent-Length: 2\r\n\r\nok"))
	}
}

// A server that names a limit gets no more than it allows while others are free.
func TestServerOverItsLimit(t *testing.T) {
	const (
		limit    = 10.0 // requests a second
		requests = 200
	)
	r := newRig(t, limited(fmt.Sprint(limit)), runner.OK("ok"))
	start := time.Now()
	for i := range requests {
		if got := r.send("GET", "/safe/x", fmt.Sprint("r", i), nil); got.status != 200 {
			t.Fatalf("request %d: got status %d, want 200", i, got.status)
		}
	}
	most := 1.5*limit*time.Since(start).Seconds() + 5
	if got := len(r.runners[0].Requests()); float64(got) > most {
		t.Errorf("the server got %d requests, want at most %.1f", got, most)
	}
}

// When no server may take a request, it is refused at once with the time until
// one may, and it has not run.
func TestAllServersAtTheirLimits(t *testing.T) {
	const (
		requests = 30
		allowed  = 1.5*0.5*4 + 5 // within 4 s
	)
	r := newRig(t, limited("0.5"))
	refused := 0
	for i := range requests {
		switch got := r.send("POST", "/once/x", fmt.Sprint("r", i), nil); {
		case got.status == 503 && got.header.Get("Retry-After") != "":
			refused++
		case got.status != 200:
			t.Errorf("request %d: got status %d and Retry-After %q", i, got.status, got.header.Get("Retry-After"))
		}
	}
	if got := r.runs(); got+refused != requests || got > allowed {
		t.Errorf("got %d runs and %d refusals of %d requests, want at most %v runs", got, refused, requests, allowed)
	}
}

// A limit ends with the first answer that does not name it.
func TestServerWithoutItsLimit(t *testing.T) {
	r := newRig(t, limited("4"))
	r.send("GET", "/safe/x", "first", nil)
	r.runners[0].SetReply(runner.OK("ok"))
	r.until("the limit ends", func() bool { return r.send("GET", "/safe/x", "again", nil).status == 200 })
	for i := range 50 {
		if got := r.send("GET", "/safe/x", fmt.Sprint("r", i), nil); got.status != 200 {
			t.Fatalf("request %d after the limit: got status %d, want 200", i, got.status)
		}
	}
}
