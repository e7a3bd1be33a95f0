package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/stub/runner"
)

// evacuate puts evacuations of zones in force at a revision.
func (r *rig) evacuate(revision ident.Revision, zones ...ident.Zone) {
	m := map[ident.Zone]conf.Evacuation{}
	for _, z := range zones {
		m[z] = conf.Evacuation{}
	}
	r.relay.SetEvacuations(m, revision)
}

// zonedRig is a rig whose last server is in zone b, the others in zone a.
func zonedRig(t *testing.T, replies ...runner.Reply) *rig {
	r := newRig(t, replies...)
	r.list[len(r.list)-1].Zone = "b"
	r.fleet.Update(r.list)
	return r
}

// Once an evacuation is in force, no attempt may begin in its zone, whatever the
// route, and whether or not the list is read again. A configuration with a lower
// revision must not end it; the end must bring the servers back.
func TestEvacuation(t *testing.T) {
	r := zonedRig(t, runner.OK("a"), runner.OK("b"))
	count := func(id string) int {
		before := len(r.runners[0].Requests())
		for i := range 20 {
			for _, path := range []string{"/safe/x", "/once/x"} {
				if got := r.send(http.MethodPost, path, fmt.Sprint(id, path, i), nil); got.status != http.StatusOK {
					t.Fatalf("%s: got status %d (%s), want 200", id, got.status, got.body)
				}
			}
		}
		return len(r.runners[0].Requests()) - before
	}
	if count("before") == 0 {
		t.Fatal("s0 gets no requests without an evacuation")
	}
	r.evacuate(5, "a", "unknown")
	if n := count("begun"); n > 0 {
		t.Errorf("got %d requests at a server of the evacuated zone", n)
	}
	r.fleet.Update(r.list)
	r.evacuate(4)
	r.plan(6, nil)
	if n := count("after an older revision"); n > 0 {
		t.Errorf("got %d requests at a server of the evacuated zone after an older revision and a new list", n)
	}
	if got := fmt.Sprint(r.relay.EvacuatedZones()); got != "[a unknown]" {
		t.Errorf("got zones %s, want a and unknown", got)
	}
	r.evacuate(7)
	if count("finished") == 0 {
		t.Error("s0 gets no requests after the end of the evacuation")
	}
}

// With every server in an evacuated zone, requests must be refused at once, as not
// run and with the time to come back, and must reach no server.
func TestEvacuationOfAll(t *testing.T) {
	r := zonedRig(t, runner.OK("a"), runner.OK("b"))
	r.evacuate(2, "a", "b")
	for _, path := range []string{"/safe/x", "/once/x", "/stream/x", "/sized/x"} {
		start := time.Now()
		got := r.send(http.MethodPost, path, path, nil)
		// The deadline of the request is 2 s; a wait for a server would last as long.
		if took := time.Since(start); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || took > time.Second || r.runs() > 0 {
			t.Errorf("%s: got status %d with Retry-After %q after %v and %d runs, want 503 with one at once", path, got.status, got.header.Get("Retry-After"), took, r.runs())
		}
	}
}

// A stream that runs in the zone when the evacuation begins must be delivered
// whole, by one run.
func TestEvacuationFinishesWork(t *testing.T) {
	begun, goOn := make(chan struct{}), make(chan struct{})
	reply := func(c net.Conn, q *runner.Request) bool {
		head := runner.ResponseHead(http.StatusOK, q, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		_, _ = io.WriteString(c, head+runner.Chunk(runner.Event(1)))
		close(begun)
		<-goOn
		_, _ = io.WriteString(c, runner.Chunk(runner.Event(2))+"0\r\n\r\n")
		return true
	}
	r := zonedRig(t, reply, runner.OK("b"))
	r.fleet.Update(r.list[:1])
	done := make(chan answer)
	go func() { done <- r.send(http.MethodPost, "/stream/x", "s", nil) }()
	<-begun
	r.fleet.Update(r.list)
	r.evacuate(2, "a")
	close(goOn)
	if got := <-done; got.status != http.StatusOK || got.body != events(1, 2) || got.err != nil || r.runs() != 1 {
		t.Errorf("got status %d, body %q (%v) and %d runs, want the whole stream by one run", got.status, got.body, got.err, r.runs())
	}
}

// A retry of an attempt that fails in the zone must go to another zone, even if the
// zone has other servers.
func TestEvacuationDuringRetry(t *testing.T) {
	r := zonedRig(t, nil, nil, runner.OK("b"))
	for _, x := range r.runners[:2] {
		x.SetReply(func(net.Conn, *runner.Request) bool {
			r.evacuate(2, "a")
			r.fleet.Update(r.list)
			return false // closes the connection
		})
	}
	r.fleet.Update(r.list[:2])
	got := r.send(http.MethodPost, "/safe/x", "q", nil)
	if n := r.runs(); got.status != http.StatusOK || n != 2 || len(r.runners[2].Requests()) != 1 {
		t.Errorf("got status %d (%s) after %d runs, want 200 by one run in each zone", got.status, got.body, n)
	}
}

// The version of a session or rollout must not hold a request in the zone. A
// withdrawn version must not serve even then, and the version in use must be the
// same after the evacuation.
func TestEvacuationAndVersions(t *testing.T) {
	by := func(version string) runner.Reply { return runner.Events(1, 1, 0, "X-Version: "+version+"\r\n") }
	for name, x := range map[string]struct {
		stage  conf.ServiceRolloutStage
		status int
		want   string // version
	}{
		"no rollout": {"", http.StatusOK, "v2"},
		"canary":     {conf.StageCanary, http.StatusOK, "v2"},
		"moving":     {conf.StageMoving, http.StatusOK, "v2"},
		"withdrawn":  {conf.StageWithdrawn, http.StatusServiceUnavailable, ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := zonedRig(t, by("v1"), by("v2"))
			version := func(id string) (int, string) {
				got := r.send(http.MethodPost, "/stream/x", id, map[string]string{"Session": "s"})
				return got.status, got.header.Get("X-Version")
			}
			r.list[1].Version = "v2"
			r.fleet.Update(r.list[:1])
			version("first")
			r.fleet.Update(r.list)
			if x.stage != "" {
				r.plan(2, map[ident.Service]conf.ServiceRollout{service: {Target: "v2", DurationMillis: 10_000, Stage: x.stage, Number: 1}})
			}
			r.evacuate(3, "a")
			for i := range 10 {
				if status, got := version(fmt.Sprint("q", i)); status != x.status || got != x.want {
					t.Fatalf("got status %d of version %q during the evacuation, want %d of %q", status, got, x.status, x.want)
				}
			}
			if n := len(r.runners[0].Requests()); n != 1 {
				t.Errorf("got %d requests at the evacuated server, want the one before", n)
			}
			r.evacuate(4)
			if got := r.fleet.Incumbent(service); got != "v1" {
				t.Errorf("got version %q in use after the evacuation, want v1", got)
			}
		})
	}
}
