package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"citronledge.example/gate/relay"
	"citronledge.example/stub/runner"
)

// startingRig is a rig whose relay has just started: it has no configuration and
// no list of backend servers, and holds requests.
type startingRig struct {
	*rig
	registry *prometheus.Registry
}

func newStartingRig(t *testing.T, hold relay.Hold) *startingRig {
	r := &startingRig{newRig(t, runner.OK("fine")), prometheus.NewRegistry()}
	r.relay = relay.New(relay.WithFleet(r.fleet), relay.WithRegistry(r.registry), relay.WithHold(hold), relay.WithSettings(relay.Settings{RetryWindow: 10 * time.Second}))
	srv := httptest.NewServer(r.relay)
	t.Cleanup(srv.Close)
	r.url = srv.URL
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = r.relay.RunHold(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return r
}

// metric returns the sum of a metric over its labels.
func (r *startingRig) metric(name string) (sum float64) {
	r.t.Helper()
	families, err := r.registry.Gather()
	if err != nil {
		r.t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, m := range f.GetMetric() {
			sum += m.GetGauge().GetValue() + m.GetCounter().GetValue()
		}
	}
	return sum
}

func (r *startingRig) awaitHeld(n int) {
	r.t.Helper()
	r.until(fmt.Sprint(n, " requests are held"), func() bool { return r.metric("relay_held_requests") == float64(n) })
}

// start gives the gate what it lacks.
func (r *startingRig) start() {
	r.fleet.SetList(r.list, time.Now())
	r.plan(1, nil)
}

// sendAll sends requests side by side; the returned function waits for the answers.
func (r *startingRig) sendAll(n int, deadline string) func() []answer {
	answers := make([]answer, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			answers[i] = r.send(http.MethodPost, "/once/x", fmt.Sprint("q", i), map[string]string{"Deadline-Ms": deadline})
		})
	}
	return func() []answer { wg.Wait(); return answers }
}

const holdBytes = 4 << 20

// Guards against refusing what a gate that starts can serve moments later, and
// against a gate that is ready before it can serve.
func TestHoldServesOnceStarted(t *testing.T) {
	took := make(chan time.Duration, 1)
	r := newStartingRig(t, relay.Hold{MaxBytes: holdBytes, OnStart: func(d time.Duration) { took <- d }})
	wait := r.sendAll(20, "5000")
	r.awaitHeld(20)
	r.plan(1, nil)
	if r.relay.Ready() || r.runs() > 0 {
		t.Errorf("got ready %v and %d runs without a list of backend servers, want neither", r.relay.Ready(), r.runs())
	}
	r.start()
	for i, a := range wait() {
		if a.status != 200 || a.body != "fine" {
			t.Errorf("request %d: got %d %q (%v), want 200", i, a.status, a.body, a.err)
		}
	}
	r.until("the gate is ready", r.relay.Ready)
	if got := <-took; got <= 0 || got > 5*time.Second {
		t.Errorf("got a start time of %v", got)
	}
	r.until("nothing is held", func() bool { return r.metric("relay_held_bytes") == 0 })
	for _, x := range r.runners[0].Requests() {
		if x.Header.Get("Deadline-Ms") == "5000" {
			t.Errorf("request %s kept its whole deadline although it was held", x.AttemptID())
		}
	}
}

// Guards against holding what cannot be served in time: the caller must learn at
// once, and be told a time that is not zero.
func TestHoldRefusesWhatIsTooLate(t *testing.T) {
	r := newStartingRig(t, relay.Hold{MaxBytes: holdBytes, Expected: 2 * time.Second})
	start := time.Now()
	a := r.sendAll(1, "700")()[0]
	if retry, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); a.status != 503 || err != nil || retry < 1 || retry > 2.5 {
		t.Errorf("got %d with Retry-After %q, want 503 and about the rest of 2 s", a.status, a.header.Get("Retry-After"))
	}
	if took := time.Since(start); took > 600*time.Millisecond {
		t.Errorf("the refusal took %v, want it at once", took)
	}
}

// Guards against memory held without bound: requests beyond it are refused
// without a run, announced bodies before they are read.
func TestHoldBoundsBytes(t *testing.T) {
	r := newStartingRig(t, relay.Hold{MaxBytes: 100 << 10})
	big := strings.Repeat("x", 200<<10)
	if got := r.sendBody(http.MethodPost, "/once/x", "announced", big, map[string]string{"Deadline-Ms": "5000"}); got.status != 503 {
		t.Errorf("got %d for an announced body over the bound, want 503", got.status)
	}
	req, err := http.NewRequest(http.MethodPost, r.url+"/once/x", io.MultiReader(strings.NewReader(big)))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err == nil {
		_ = resp.Body.Close()
		if resp.StatusCode != 503 {
			t.Errorf("got %d for a chunked body over the bound, want 503 or a closed connection", resp.StatusCode)
		}
	}
	wait := r.sendAll(50, "5000")
	r.until("some are refused", func() bool { return r.metric("relay_held_requests_total") >= 30 })
	r.start()
	served := 0
	for _, a := range wait() {
		if a.status == 200 {
			served++
		}
	}
	if served == 0 || served > 20 || r.runs() != served {
		t.Errorf("got %d served and %d runs, want between 1 and 20, and as many runs", served, r.runs())
	}
}

// A caller that leaves must not be run later, nor keep its place and its bytes.
func TestHoldCallerLeaves(t *testing.T) {
	r := newStartingRig(t, relay.Hold{MaxBytes: holdBytes})
	for name, body := range map[string]string{"whole": "Content-Length: 4\r\n\r\nbody", "part": "Content-Length: 9\r\n\r\nbody", "chunk": "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"} {
		c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nKey: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 9000\r\n%s", key, name, body)
		r.awaitHeld(1)
		_ = c.Close()
		r.awaitHeld(0)
	}
	r.start()
	r.until("the gate is ready", r.relay.Ready)
	if got := r.sendAll(1, "5000")()[0]; got.status != 200 || r.runs() != 1 {
		t.Errorf("got %d and %d runs, want 200 and no run of callers that left", got.status, r.runs())
	}
}

// A planned stop must not wait for held requests: they are refused at once and
// not run, also those whose bodies have not arrived.
func TestHoldPlannedStop(t *testing.T) {
	r := newStartingRig(t, relay.Hold{MaxBytes: holdBytes, Expected: 2 * time.Second})
	wait := r.sendAll(5, "9000")
	part := make(chan *http.Response)
	go func() {
		part <- r.raw("POST /once/x HTTP/1.1\r\nHost: h.example\r\nKey: " + key + "\r\nDeadline-Ms: 9000\r\nContent-Length: 9\r\n\r\nbody")
	}()
	r.awaitHeld(6)
	start := time.Now()
	r.relay.Drain(time.Now().Add(5 * time.Second))
	answers := wait()
	if took := time.Since(start); took > time.Second {
		t.Errorf("the refusals took %v, want them at once", took)
	}
	for i, a := range answers {
		if a.status != 503 || a.header.Get("Retry-After") == "" {
			t.Errorf("request %d: got %d with Retry-After %q, want 503 with one", i, a.status, a.header.Get("Retry-After"))
		}
	}
	if resp := <-part; resp.StatusCode != 503 || !resp.Close {
		t.Errorf("got %d, close %v, for a request without its body, want 503 and a closed connection", resp.StatusCode, resp.Close)
	}
	r.start()
	if r.runs() != 0 {
		t.Errorf("got %d runs of refused requests", r.runs())
	}
}

// A gate that gets no configuration must refuse its callers within seconds, those
// that come later at once, and must serve when the configuration comes at last.
func TestHoldWithoutConfiguration(t *testing.T) {
	r := newStartingRig(t, relay.Hold{MaxBytes: holdBytes, Expected: 500 * time.Millisecond})
	for i, a := range r.sendAll(5, "20000")() {
		if a.status != 503 || a.header.Get("Retry-After") == "" {
			t.Errorf("request %d: got %d (%v), want 503 when the time to hold is over", i, a.status, a.err)
		}
	}
	start := time.Now()
	if got := r.sendAll(1, "20000")()[0]; got.status != 503 || time.Since(start) > 500*time.Millisecond {
		t.Errorf("got %d after %v, want 503 at once", got.status, time.Since(start))
	}
	r.start()
	r.until("the gate is ready", r.relay.Ready)
	if got := r.sendAll(1, "5000")()[0]; got.status != 200 {
		t.Errorf("got %d from a gate that started late, want 200", got.status)
	}
}

// Guards against a gate under strict revocation that refuses while its first
// lease is on its way, and against one that holds after it lost a later lease.
func TestHoldUntilFirstLease(t *testing.T) {
	var mu sync.Mutex
	lease := false
	setLease := func(valid bool) { mu.Lock(); lease = valid; mu.Unlock() }
	r := newRig(t, runner.OK("fine"))
	registry := prometheus.NewRegistry()
	r.relay = relay.New(relay.WithFleet(r.fleet), relay.WithRegistry(registry), relay.WithHold(relay.Hold{MaxBytes: holdBytes}),
		relay.WithLease(func() bool { mu.Lock(); defer mu.Unlock(); return lease }),
		relay.WithSettings(relay.Settings{RetryWindow: 10 * time.Second, RequireLease: true}))
	s := &startingRig{r, registry}
	srv := httptest.NewServer(r.relay)
	t.Cleanup(srv.Close)
	r.url = srv.URL
	go func() { _ = r.relay.RunHold(t.Context()) }()
	s.start()
	wait := s.sendAll(3, "5000")
	s.awaitHeld(3)
	setLease(true)
	for i, a := range wait() {
		if a.status != 200 {
			t.Errorf("request %d: got %d, want 200 with the first lease", i, a.status)
		}
	}
	setLease(false)
	if got := s.sendAll(1, "5000")()[0]; got.status != 503 {
		t.Errorf("got %d without a later lease, want 503", got.status)
	}
	if got := s.metric("relay_start_seconds"); got <= 0 {
		t.Errorf("got %v s as the sum of the steps of the start, want more", got)
	}
}
