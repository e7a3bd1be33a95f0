package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/core/plan"
	"citronledge.example/gate/fleet"
	"citronledge.example/gate/relay"
	"citronledge.example/platform"
	"citronledge.example/stub/runner"
)

// rig is a relay in front of runners, which stand in for the backend servers
// "s0", "s1", ....
type rig struct {
	t       testing.TB
	relay   *relay.Relay
	fleet   *fleet.Fleet
	runners []*runner.Backend
	list    []platform.ListedBackend
	url     string
	// routeTimeout is that of all routes, and engine describes the service.
	routeTimeout time.Duration
	engine       *plan.Engine
	// runOnce leaves out that streams may be resumed.
	runOnce bool
	// affinity sends prompts with the same beginning to the same runner.
	affinity bool
}

const (
	service = ident.Service("pool")
	key     = "secret-key"
)

func newRig(t testing.TB, replies ...runner.Reply) *rig {
	return newRigOf(t, runner.Start, replies...)
}

// newRigOf starts each runner with start.
func newRigOf(t testing.TB, start func(runner.Reply) (*runner.Backend, error), replies ...runner.Reply) *rig {
	r := &rig{t: t, fleet: fleet.New("a"), routeTimeout: 3 * time.Second}
	for i, reply := range replies {
		x, err := start(reply)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(x.Close)
		r.runners = append(r.runners, x)
		r.list = append(r.list, platform.ListedBackend{
			ID: ident.Backend(fmt.Sprintf("s%d", i)), Service: service, Address: x.Addr(), Zone: "a", Version: "v1", Slots: 8,
		})
	}
	r.fleet.Update(r.list)
	r.relay = relay.New(relay.WithFleet(r.fleet), relay.WithSettings(relay.Settings{
		CanaryShare: 0.1, SessionTimeout: 5 * time.Second, RetryRatio: 1, RetrySlack: 20, RetryWindow: 10 * time.Second,
	}))
	r.plan(1, nil)
	srv := httptest.NewServer(r.relay)
	t.Cleanup(srv.Close)
	r.url = srv.URL
	return r
}

// plan puts a configuration in force with the routes /safe/, /once/, /stream/,
// /sized/, /sizedonce/ and /public/ of host h.example.
func (r *rig) plan(revision ident.Revision, rollouts map[ident.Service]conf.ServiceRollout) {
	r.t.Helper()
	route := func(name string, repeat plan.RouteType) plan.Route {
		return plan.Route{
			Name: ident.Route(name), Host: "h.example", PathPrefix: "/" + name + "/", Type: repeat, Timeout: r.routeTimeout,
			TargetLatency: time.Second, Splits: []plan.Split{{Service: service, Weight: 1}}, MaxRuns: 3, Resumable: repeat == plan.RouteStream && !r.runOnce,
			PrefixAffinity: r.affinity,
		}
	}
	sized, public := route("sized", plan.RouteStream), route("public", plan.RouteSafe)
	sizedOnce := route("sizedonce", plan.RouteOnce)
	sized.Models = []ident.Model{"small", "middle", "large"}
	sizedOnce.Models = sized.Models
	public.Public = true
	p := &plan.Config{
		Version: uint64(revision), Services: map[ident.Service]plan.Service{service: {Name: service, Engine: r.engine}},
		Routes:    []plan.Route{route("safe", plan.RouteSafe), route("once", plan.RouteOnce), route("stream", plan.RouteStream), sized, sizedOnce, public},
		Customers: []plan.Customer{{Name: "acme", Keys: []string{key}}}, Limits: plan.Limits{MaxBodyBytes: uploadBytes},
	}
	if err := p.Index(); err != nil {
		r.t.Fatal(err)
	}
	r.relay.SetPlan(p, rollouts, revision)
}

// longRoutes lets requests take as long as limit.
func (r *rig) longRoutes(limit time.Duration) {
	r.t.Helper()
	r.routeTimeout = limit
	r.plan(2, nil)
}

// onceStreams lets streams run once at most.
func (r *rig) onceStreams() {
	r.t.Helper()
	r.runOnce = true
	r.plan(2, nil)
}

// answer is what a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // of the body
}

func (r *rig) send(method, target, id string, header map[string]string) answer {
	r.t.Helper()
	return r.sendBody(method, target, id, "question", header)
}

func (r *rig) sendBody(method, target, id, body string, header map[string]string) answer {
	r.t.Helper()
	req, err := http.NewRequest(method, r.url+target, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Key", key)
	req.Header.Set("Deadline-Ms", "2000")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(content), err}
}

// runs returns how many requests the runners have read.
func (r *rig) runs() int {
	n := 0
	for _, x := range r.runners {
		n += len(x.Requests())
	}
	return n
}

func events(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		b.WriteString(runner.Event(i))
	}
	return b.String()
}

// brokenStream sends the events up to last and a part of the next one, then
// resets the connection.
func brokenStream(last int) runner.Reply {
	return func(c net.Conn, r *runner.Request) bool {
		head := runner.ResponseHead(http.StatusOK, r, "X-Run: broken\r\nTransfer-Encoding: chunked\r\n\r\n")
		_, _ = io.WriteString(c, head+runner.Chunk(events(1, last)+"id: 99\nda"))
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
}

func (r *rig) until(what string, f func() bool) {
	r.t.Helper()
	for end := time.Now().Add(5 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("not in 5 s: %s", what)
		}
	}
}

// raw sends bytes and returns the answer.
func (r *rig) raw(bytes string) *http.Response {
	r.t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, bytes); err != nil {
		r.t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.t.Fatal(err)
	}
	return resp
}

// withoutRetryBudget replaces the relay by one that allows no retries.
func (r *rig) withoutRetryBudget() { r.withRetries(0) }

// withRetries replaces the relay by one that allows n retries.
func (r *rig) withRetries(n float64) {
	r.relay = relay.New(relay.WithFleet(r.fleet), relay.WithSettings(relay.Settings{RetrySlack: n, RetryWindow: 10 * time.Second}))
	r.plan(1, nil)
	srv := httptest.NewServer(r.relay)
	r.t.Cleanup(srv.Close)
	r.url = srv.URL
}
