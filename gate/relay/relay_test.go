package relay_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
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
}

const (
	service = ident.Service("pool")
	key     = "secret-key"
)

func newRig(t testing.TB, replies ...runner.Reply) *rig {
	r := &rig{t: t, fleet: fleet.New("a"), routeTimeout: 3 * time.Second}
	for i, reply := range replies {
		x, err := runner.Start(reply)
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
// /sized/ and /public/ of host h.example.
func (r *rig) plan(revision ident.Revision, rollouts map[ident.Service]conf.ServiceRollout) {
	r.t.Helper()
	route := func(name string, repeat plan.RouteType) plan.Route {
		return plan.Route{
			Name: ident.Route(name), Host: "h.example", PathPrefix: "/" + name + "/", Type: repeat, Timeout: r.routeTimeout,
			TargetLatency: time.Second, Splits: []plan.Split{{Service: service, Weight: 1}}, MaxRuns: 3, Resumable: repeat == plan.RouteStream,
		}
	}
	sized, public := route("sized", plan.RouteStream), route("public", plan.RouteSafe)
	sized.Models = []ident.Model{"small", "middle", "large"}
	public.Public = true
	p := &plan.Config{
		Version: uint64(revision), Services: map[ident.Service]plan.Service{service: {Name: service, Engine: r.engine}},
		Routes:    []plan.Route{route("safe", plan.RouteSafe), route("once", plan.RouteOnce), route("stream", plan.RouteStream), sized, public},
		Customers: []plan.Customer{{Name: "acme", Keys: []string{key}}},
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

// What callers get for each way in which an attempt can end. A request that
// must not be repeated is never sent again once any byte of it may have been
// read.
func TestOutcomes(t *testing.T) {
	closed := runner.ReplyRawAndClose(func(*runner.Request) string { return "" })
	failing := runner.Status(http.StatusInternalServerError, "broken")
	for name, x := range map[string]struct {
		target  string
		replies []runner.Reply
		status  int
		maxRuns int
	}{
		"served":                      {"/safe/x", []runner.Reply{runner.OK("ok")}, 200, 1},
		"full, then served":           {"/once/x", []runner.Reply{runner.ReplyNotExecuted, runner.ReplyNotExecuted, runner.OK("ok")}, 200, 3},
		"all full":                    {"/once/x", []runner.Reply{runner.ReplyNotExecuted, runner.ReplyNotExecuted}, 503, 2},
		"safe after a reset":          {"/safe/x", []runner.Reply{closed, runner.OK("ok")}, 200, 2},
		"once after a reset":          {"/once/x", []runner.Reply{closed, closed}, 502, 1},
		"once that may have run, 503": {"/once/x", []runner.Reply{runner.Status(503, "busy")}, 502, 1},
		"once that may have run, 429": {"/once/x", []runner.Reply{runner.Status(429, "busy")}, 502, 1},
		"once that may have run, 408": {"/once/x", []runner.Reply{runner.Status(408, "late")}, 502, 1},
		"safe that may have run, 503": {"/safe/x", []runner.Reply{runner.Status(503, "busy"), runner.Status(503, "busy")}, 502, 2},
		"once that fails":             {"/once/x", []runner.Reply{failing, failing}, 500, 1},
		"safe that fails":             {"/safe/x", []runner.Reply{failing, failing}, 500, 2},
		"safe that fails once":        {"/safe/x", []runner.Reply{failing, runner.OK("ok")}, 200, 2},
		"no signature":                {"/once/x", []runner.Reply{runner.ReplyRawAndClose(unsigned)}, 502, 1},
		"once, silent":                {"/once/x", []runner.Reply{runner.NeverReply}, 504, 1},
		"unknown path":                {"/nowhere/x", []runner.Reply{runner.OK("ok")}, 404, 0},
		"truncated success":           {"/once/x", []runner.Reply{runner.ReplyRawAndClose(short)}, 502, 1},
		"truncated safe success":      {"/safe/x", []runner.Reply{runner.ReplyRawAndClose(short), runner.OK("ok")}, 200, 2},
		"address reassigned":          {"/once/x", []runner.Reply{elsewhere, runner.OK("ok")}, 200, 2},
		"no server can be reached":    {"/once/x", nil, 503, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, x.replies...)
			got := r.send(http.MethodPost, x.target, "1", map[string]string{"Deadline-Ms": "400"})
			if got.err != nil || got.status != x.status {
				t.Errorf("got status %d (%v, %q), want %d", got.status, got.err, got.body, x.status)
			}
			if runs := r.runs(); runs > x.maxRuns {
				t.Errorf("got %d runs, want at most %d", runs, x.maxRuns)
			}
			if got.status == 503 && got.header.Get("Retry-After") == "" {
				t.Error("a refusal has no Retry-After")
			}
			if sig := got.header.Get("Server-Signature"); got.status == 200 && sig != "sig-1" {
				t.Errorf("got signature %q of a success", sig)
			}
		})
	}
}

func unsigned(r *runner.Request) string {
	return "HTTP/1.1 200 OK\r\nAttempt-Id: " + r.AttemptID() + "\r\nContent-Length: 2\r\n\r\nok"
}

func short(r *runner.Request) string {
	return runner.ResponseHead(200, r, "Content-Length: 9\r\n\r\nok")
}

func elsewhere(c net.Conn, r *runner.Request) bool {
	_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: "+r.AttemptID()+"\r\nInstance-Id: other\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// A backend server sees the customer's name in place of the key, whatever the
// caller claims, and the instance that the request is meant for.
func TestHeaders(t *testing.T) {
	r := newRig(t, runner.OK("ok"))
	got := r.send(http.MethodPost, "/safe/a//b/../c?q=%2f", "1", map[string]string{
		"Tenant": "forged", "Expect-Instance": "forged", "Kv-From": "forged", "Pin-Ms": "9", "Connection": "X-Hop", "X-Hop": "1", "X-Kept": "2",
	})
	if got.status != 200 {
		t.Fatalf("got status %d", got.status)
	}
	q := r.runners[0].Requests()[0]
	if got, want := q.RequestURI, "/safe/a//b/../c?q=%2f"; got != want {
		t.Errorf("got target %q, want %q", got, want)
	}
	for name, want := range map[string]string{
		"Tenant": "acme", "Expect-Instance": "s0", "Key": "", "Kv-From": "", "Pin-Ms": "", "X-Hop": "", "X-Kept": "2", "Attempt-Id": "1",
	} {
		if got := strings.Join(q.Header[name], "|"); got != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
	var left int
	if _, err := fmt.Sscan(q.Header.Get("Deadline-Ms"), &left); err != nil || left <= 0 || left > 2000 {
		t.Errorf("got deadline %q, want at most 2000", q.Header.Get("Deadline-Ms"))
	}
}

// Keys are checked before anything runs.
func TestKeys(t *testing.T) {
	r := newRig(t, runner.OK("ok"))
	for name, x := range map[string]struct {
		target, key string
		want        int
	}{
		"known":           {"/safe/x", key, 200},
		"unknown":         {"/safe/x", "other", 401},
		"none":            {"/safe/x", "", 401},
		"public, none":    {"/public/x", "", 200},
		"public, unknown": {"/public/x", "other", 200},
	} {
		if got := r.send(http.MethodGet, x.target, "1", map[string]string{"Key": x.key}).status; got != x.want {
			t.Errorf("%s: got %d, want %d", name, got, x.want)
		}
	}
}

// A stream whose backend server breaks off is resumed at another one, without a
// missing or repeated event, under the head of its first run.
func TestResume(t *testing.T) {
	r := newRig(t, brokenStream(3), brokenStream(3))
	r.resume(3)
	got := r.send(http.MethodPost, "/stream/x", "1", nil)
	if want := events(1, 9); got.err != nil || got.body != want {
		t.Errorf("got %q (%v), want %q", got.body, got.err, want)
	}
	if got := got.header.Values("Server-Signature"); len(got) != 1 {
		t.Errorf("got signatures %q, want the one of the first run", got)
	}
}

// resume makes each runner serve the rest of a stream that another one began.
func (r *rig) resume(last int) {
	for _, x := range r.runners {
		x.SetReply(func(c net.Conn, q *runner.Request) bool {
			if q.Header.Get("Last-Event-Id") == fmt.Sprint(last) {
				return runner.Events(last+1, 9, 0, "")(c, q)
			}
			return brokenStream(last)(c, q)
		})
	}
}

// The head of a run that broke off before its first event must not remain in the
// answer, which would carry the signatures of two runs.
func TestHeadOfLostRun(t *testing.T) {
	lost := runner.ReplyRawAndClose(func(r *runner.Request) string {
		return runner.ResponseHead(200, r, "X-Run: lost\r\nTransfer-Encoding: chunked\r\n\r\n")
	})
	r := newRig(t, lost, lost)
	for i := range 4 { // whichever server is asked first
		r.runners[i%2].SetReply(lost)
		r.runners[1-i%2].SetReply(runner.Events(1, 3, 0, "X-Run: whole\r\n"))
		got := r.send(http.MethodPost, "/stream/x", fmt.Sprint(i), nil)
		if got.status != 200 || got.body != events(1, 3) {
			t.Fatalf("got %d %q (%v)", got.status, got.body, got.err)
		}
		if got, want := strings.Join(got.header["X-Run"], "|"), "whole"; got != want {
			t.Errorf("got runs %q in the head, want %q", got, want)
		}
	}
}

// A stream that cannot be resumed must not look complete.
func TestCutStream(t *testing.T) {
	r := newRig(t, brokenStream(2))
	got := r.send(http.MethodPost, "/stream/x", "1", nil)
	if got.err == nil {
		t.Errorf("got a complete stream %q", got.body)
	}
	if got.body != events(1, 2) {
		t.Errorf("got %q, want the whole events %q", got.body, events(1, 2))
	}
}

// On a route with several models the smallest is asked first. An answer with
// too low a confidence is dropped for that of a larger model.
func TestEscalation(t *testing.T) {
	for name, x := range map[string]struct {
		sure []string // by model: small, middle, large
		want string
	}{
		"sure":   {[]string{"80", "90", "95"}, "small"},
		"unsure": {[]string{"10", "90", "95"}, "large"},
		"never":  {[]string{"10", "10", "10"}, "large"},
		"silent": {[]string{"", "", ""}, "small"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, func(c net.Conn, q *runner.Request) bool {
				model := q.Header.Get("Model")
				confidence := x.sure[map[string]int{"small": 0, "middle": 1, "large": 2}[model]]
				more := "X-Model: " + model + "\r\n"
				if confidence != "" {
					more += "Confidence: " + confidence + "\r\n"
				}
				return runner.Events(1, 2, 0, more)(c, q)
			})
			got := r.send(http.MethodPost, "/sized/x", "1", map[string]string{"Model": "*", "Token-Usage": "100,10"})
			if model := got.header.Get("X-Model"); model != x.want || got.body != events(1, 2) {
				t.Errorf("got model %q and body %q, want %q", model, got.body, x.want)
			}
		})
	}
}

// Without a retry budget the answer at hand is kept: dropping it would lose the
// request.
func TestEscalationWithoutBudget(t *testing.T) {
	r := newRig(t, func(c net.Conn, q *runner.Request) bool {
		return runner.Events(1, 2, 0, "Confidence: 10\r\nX-Model: "+q.Header.Get("Model")+"\r\n")(c, q)
	})
	r.withoutRetryBudget()
	got := r.send(http.MethodPost, "/sized/x", "1", map[string]string{"Model": "*", "Token-Usage": "100,10"})
	if got.status != 200 || got.header.Get("X-Model") != "small" || got.body != events(1, 2) {
		t.Errorf("got %d from model %q with %q, want the small model's whole answer", got.status, got.header.Get("X-Model"), got.body)
	}
}

// When a caller leaves, its backend server must not go on working.
func TestCallerLeaves(t *testing.T) {
	r := newRig(t, runner.NeverReply)
	c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1\r\nKey: "+key+"\r\nDeadline-Ms: 60000\r\n\r\n")
	r.until("the request reaches the runner", func() bool { return r.runs() == 1 })
	_ = c.Close()
	r.until("the runner's connection ends", func() bool { return r.runners[0].OpenConns() == 0 })
}

func (r *rig) until(what string, f func() bool) {
	r.t.Helper()
	for end := time.Now().Add(5 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("not in 5 s: %s", what)
		}
	}
}

// Without a configuration nothing can run: a request is refused as not run, with
// the time after which to retry.
func TestNoPlan(t *testing.T) {
	srv := httptest.NewServer(relay.New(relay.WithFleet(fleet.New("a"))))
	defer srv.Close()
	resp, err := http.Get(srv.URL + "/x/")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got %d with Retry-After %q, want 503 with one", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
}

// A configuration that arrives late must not replace a newer one.
func TestPlanNeverGoesBack(t *testing.T) {
	r := newRig(t, runner.OK("ok"))
	r.plan(7, nil)
	older := &plan.Config{Version: 1}
	if err := older.Index(); err != nil {
		t.Fatal(err)
	}
	r.relay.SetPlan(older, nil, 5)
	if got := r.send(http.MethodGet, "/safe/x", "1", nil).status; got != 200 {
		t.Errorf("got %d by an older configuration, want 200", got)
	}
}

// While the gate stops, answers close their connections, and streams that would
// outlast the stop are refused. Other requests are still served.
func TestDrain(t *testing.T) {
	r := newRig(t, runner.Events(1, 3, 5*time.Millisecond, ""))
	for i := range 25 { // the gate learns how long streams take
		r.send(http.MethodPost, "/stream/x", fmt.Sprint(i), map[string]string{"Token-Usage": "10,10"})
	}
	r.relay.Drain(time.Now().Add(time.Second))
	if r.relay.Ready() {
		t.Error("a gate that stops is ready")
	}
	for name, x := range map[string]struct {
		tokens string
		want   int
	}{"short": {"10,10", 200}, "long": {"10,100000", 503}} {
		got := r.send(http.MethodPost, "/stream/x", "d"+name, map[string]string{"Token-Usage": x.tokens})
		if got.status != x.want {
			t.Errorf("%s: got %d, want %d", name, got.status, x.want)
		}
	}
	if got := r.raw("GET /stream/x HTTP/1.1\r\nHost: h.example\r\nKey: " + key + "\r\nAttempt-Id: z\r\n\r\n"); !got.Close {
		t.Error("an answer of a gate that stops keeps its connection")
	}
}

// A stream may need most of its time before its first event: it waits for its
// server, or an answer is dropped for that of a larger model. A gate that stops
// must count this, or it cuts the stream that it accepted.
func TestDrainCountsFirstEvent(t *testing.T) {
	const wait = 40 * time.Millisecond
	r := newRig(t, func(c net.Conn, q *runner.Request) bool {
		time.Sleep(wait)
		return runner.Events(1, 3, 0, "")(c, q)
	})
	for i := range 25 {
		r.send(http.MethodPost, "/stream/x", fmt.Sprint(i), map[string]string{"Token-Usage": "10,10"})
	}
	r.relay.Drain(time.Now().Add(wait))
	if got := r.send(http.MethodPost, "/stream/x", "d", map[string]string{"Token-Usage": "10,10"}); got.status != 503 {
		t.Errorf("got %d for a stream that needs longer than the stop to begin, want 503", got.status)
	}
}

// The wait for the first event grows with the prompt. A gate that stops must not
// accept a long prompt by what short ones took.
func TestDrainCountsPrompt(t *testing.T) {
	r := newRig(t, func(c net.Conn, q *runner.Request) bool {
		var tokens int
		_, _ = fmt.Sscanf(q.Header.Get("Token-Usage"), "%d", &tokens)
		time.Sleep(time.Duration(tokens) * 10 * time.Microsecond) // the time to read the prompt
		return runner.Events(1, 3, 0, "")(c, q)
	})
	r.engine = &plan.Engine{Slots: 8, KVCapacity: 1e6, CostPer1000Tokens: map[ident.Model]float64{"small": 1}}
	r.longRoutes(20 * time.Second)
	send := func(id, tokens string) int {
		return r.send(http.MethodPost, "/stream/x", id, map[string]string{"Model": "small", "Token-Usage": tokens, "Deadline-Ms": "9000"}).status
	}
	for i := range 25 {
		send(fmt.Sprint(i), "3000,10")
	}
	r.relay.Drain(time.Now().Add(3 * time.Second))
	if got := send("long", "600000,10"); got != 503 {
		t.Errorf("got %d for a prompt that takes 6 s to read, with 3 s left, want 503", got)
	}
	if got := send("short", "3000,10"); got != 200 {
		t.Errorf("got %d for a prompt that takes 30 ms to read, with 3 s left, want 200", got)
	}
}

// A gate that stops soon after its start does not know how long streams take.
// It must not begin a stream that the end of the stop would cut.
func TestDrainAfterStart(t *testing.T) {
	r := newRig(t, runner.Events(1, 3, 5*time.Millisecond, ""))
	r.relay.Drain(time.Now().Add(time.Second))
	if got := r.send(http.MethodPost, "/stream/x", "s", map[string]string{"Token-Usage": "10,10"}); got.status != 503 || r.runs() != 0 {
		t.Errorf("got %d and %d runs for a stream of unknown length, want 503 and none", got.status, r.runs())
	}
	if got := r.send(http.MethodGet, "/safe/x", "u", nil).status; got != 200 {
		t.Errorf("got %d for a request that is no stream, want 200", got)
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

// During the canary stage of a rollout, sessions that the old version served
// stay there, and a share of the others goes to the new one. After the canary
// stage its outcome alone decides.
func TestServiceRollout(t *testing.T) {
	by := func(version string) runner.Reply { return runner.Events(1, 1, 0, "X-Version: "+version+"\r\n") }
	r := newRig(t, by("v1"), by("v2"))
	version := func(session, id string) string {
		return r.send(http.MethodPost, "/stream/x", id, map[string]string{"Session": session}).header.Get("X-Version")
	}
	r.fleet.Update(r.list[:1])
	for i := range 40 {
		version(fmt.Sprint("old", i), fmt.Sprint("a", i))
	}
	r.list[1].Version = "v2"
	r.fleet.Update(r.list)
	for i := range 40 {
		if got := version(fmt.Sprint("fresh", i), fmt.Sprint("b", i)); got != "v1" {
			t.Fatalf("got version %q before the rollout, want v1", got)
		}
	}
	rollout := conf.ServiceRollout{Target: "v2", DurationMillis: 10_000, Stage: conf.StageCanary, Number: 1}
	r.plan(2, map[ident.Service]conf.ServiceRollout{service: rollout})
	count := 0
	for i := range 40 {
		if got := version(fmt.Sprint("old", i), fmt.Sprint("c", i)); got != "v1" {
			t.Errorf("session old%d moved to %q", i, got)
		}
	}
	for i := range 200 {
		if version(fmt.Sprint("new", i), fmt.Sprint("d", i)) == "v2" {
			count++
		}
	}
	if count < 5 || count > 45 {
		t.Errorf("got %d of 200 new sessions on the canary, want about 20", count)
	}
	for _, x := range []struct {
		stage conf.ServiceRolloutStage
		want  string
	}{{conf.StageMoving, "v2"}, {conf.StageWithdrawn, "v1"}} {
		rollout.Stage = x.stage
		r.plan(ident.Revision(3+len(x.stage)), map[ident.Service]conf.ServiceRollout{service: rollout})
		for i := range 20 {
			if got := version(fmt.Sprint(x.stage, i), fmt.Sprint(x.stage, i)); got != x.want {
				t.Errorf("%s: got version %q, want %q", x.stage, got, x.want)
			}
		}
	}
}

// A session that another gate serves keeps its version here too.
func TestSessionOfPeer(t *testing.T) {
	by := func(version string) runner.Reply { return runner.Events(1, 1, 0, "X-Version: "+version+"\r\n") }
	r, other := newRig(t, by("v1"), by("v2")), newRig(t, by("v1"))
	r.fleet.Update(r.list[:1])
	r.send(http.MethodPost, "/stream/x", "first", nil)
	r.list[1].Version = "v2"
	r.fleet.Update(r.list)
	for i := range 60 {
		other.send(http.MethodPost, "/stream/x", fmt.Sprint("a", i), map[string]string{"Session": fmt.Sprint("s", i)})
	}
	r.relay.MergeSessions(other.relay.TakeServedSessions())
	if left := other.relay.TakeServedSessions(); len(left) != 0 {
		t.Errorf("got %d sessions a second time", len(left))
	}
	r.plan(2, map[ident.Service]conf.ServiceRollout{service: {Target: "v2", DurationMillis: 10_000, Stage: conf.StageCanary, Number: 1}})
	for i := range 60 {
		got := r.send(http.MethodPost, "/stream/x", fmt.Sprint("b", i), map[string]string{"Session": fmt.Sprint("s", i)}).header.Get("X-Version")
		if got != "v1" {
			t.Errorf("session s%d, which another gate serves, moved to %q", i, got)
		}
	}
}

// A server that falls silent must not hold up a repeatable request until its
// deadline. A request that must not be repeated is never sent again.
func TestSilentServer(t *testing.T) {
	r := newRig(t, runner.OK("ok"), runner.OK("ok"))
	for i := range 30 {
		r.send(http.MethodGet, "/safe/x", fmt.Sprint("a", i), nil)
	}
	r.runners[0].SetReply(runner.NeverReply)
	for i := range 6 {
		start := time.Now()
		if got := r.send(http.MethodGet, "/safe/x", fmt.Sprint("b", i), nil); got.status != 200 || time.Since(start) > time.Second {
			t.Errorf("got %d after %v beside a silent server, want 200 at once", got.status, time.Since(start))
		}
	}
	r.runners[1].SetReply(runner.NeverReply)
	before := r.runs()
	if got := r.send(http.MethodPost, "/once/x", "c", map[string]string{"Deadline-Ms": "300"}); got.status != 504 || r.runs() != before+1 {
		t.Errorf("got %d with %d runs of a request that may run once, want 504 and 1", got.status, r.runs()-before)
	}
}

// Two Content-Length headers that differ would let a caller smuggle in a second
// request.
func TestTwoLengths(t *testing.T) {
	r := newRig(t, runner.OK("ok"))
	resp := r.raw("POST /safe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\nContent-Length: 5\r\nKey: " + key + "\r\n\r\nabcde")
	if resp.StatusCode != http.StatusBadRequest || r.runs() != 0 {
		t.Errorf("got %d and %d runs, want 400 and none", resp.StatusCode, r.runs())
	}
}

// A request whose body breaks off must not run.
func TestBodyBreaksOff(t *testing.T) {
	r := newRig(t, runner.OK("ok"))
	c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 100\r\nKey: "+key+"\r\n\r\nhalf")
	_ = c.(*net.TCPConn).CloseWrite()
	if _, err := io.ReadAll(c); err != nil && !errors.Is(err, net.ErrClosed) && r.runs() > 0 {
		t.Error(err)
	}
	_ = c.Close()
	if got := r.runs(); got != 0 {
		t.Errorf("got %d runs of half a request", got)
	}
}

// Gates that know nothing of each other's sessions agree on those that a version
// in its canary stage may get. Otherwise each of many gates would give it other
// sessions, and move them from the version that serves them elsewhere.
func TestCandidateSessions(t *testing.T) {
	const gates, sessionCount = 16, 150
	by := func(version string) runner.Reply { return runner.Events(1, 1, 0, "X-Version: "+version+"\r\n") }
	var all, moved []string
	for i := range sessionCount {
		all = append(all, fmt.Sprint("s", i))
	}
	for range gates {
		r := newRig(t, by("v1"), by("v2"))
		r.fleet.Update(r.list[:1])
		r.send(http.MethodPost, "/stream/x", "first", nil)
		r.list[1].Version = "v2"
		r.fleet.Update(r.list)
		r.plan(2, map[ident.Service]conf.ServiceRollout{service: {Target: "v2", DurationMillis: 10_000, Stage: conf.StageCanary, Number: 1}})
		for i := range all {
			s := all[(i*7+11*len(moved))%len(all)] // in another order at each gate
			if got := r.send(http.MethodPost, "/stream/x", "r"+s, map[string]string{"Session": s}).header.Get("X-Version"); got == "v2" && !slices.Contains(moved, s) {
				moved = append(moved, s)
			}
		}
	}
	// The canary share is 0.1; four times as many sessions are candidates.
	if len(moved) == 0 || len(moved) > sessionCount/2 {
		t.Errorf("the canary got %d of %d sessions at %d gates, want some and at most half", len(moved), sessionCount, gates)
	}
}

// A refusal that a server writes once more on a kept connection is not the
// answer to the next request there, which runs.
func TestRepeatedRefusal(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	for name, x := range map[string]struct {
		refusal func(id string) string
		path    string
	}{
		"without an id, once":       {func(string) string { return refusal }, "/once/x"},
		"without an id, repeatable": {func(string) string { return refusal }, "/safe/x"},
		"with the earlier id, once": {func(id string) string { return strings.Replace(refusal, "\r\n", "\r\nAttempt-Id: "+id+"\r\n", 1) }, "/once/x"},
	} {
		t.Run(name, func(t *testing.T) {
			refused := ""
			reply := func(c net.Conn, q *runner.Request) bool {
				if refused == "" {
					refused = x.refusal(q.AttemptID())
					return runner.Write(c, refused)
				}
				if !runner.Write(c, refused) {
					return false
				}
				<-time.After(50 * time.Millisecond) // it runs
				return runner.OK("ok")(c, q)
			}
			r := newRig(t, reply)
			r.send(http.MethodPost, x.path, "first", nil)
			if got := r.send(http.MethodPost, x.path, "second", nil); got.status != 200 || got.body != "ok" {
				t.Errorf("got status %d with %q, want the answer of the run", got.status, got.body)
			}
			if got := r.runs(); got != 2 {
				t.Errorf("got %d requests at the server, want 2", got)
			}
			if got := r.runners[0].Requests()[1].ConnIndex; got != 0 {
				t.Errorf("the second request came on connection %d, want the kept one", got)
			}
		})
	}
}

// An unsuccessful answer of the next server must not become a part of a stream
// that has begun, nor end it as if it were complete.
func TestErrorWithinStream(t *testing.T) {
	answer := func(status int, more, body string) runner.Reply {
		return func(c net.Conn, q *runner.Request) bool {
			runner.Write(c, runner.ResponseHead(status, q, more+"\r\n"+body))
			return false
		}
	}
	for name, next := range map[string]runner.Reply{
		"404":                   answer(404, "Content-Length: 7\r\n", "unknown"),
		"409 of events":         answer(409, "Content-Length: 12\r\n", "data: no\n\n\n\n"),
		"400 in chunks":         answer(400, "Transfer-Encoding: chunked\r\n", "2\r\nno\r\n0\r\n\r\n"),
		"410 until the end":     answer(410, "", "gone"),
		"302":                   answer(302, "Content-Length: 0\r\nLocation: /\r\n", ""),
		"500":                   answer(500, "Content-Length: 6\r\n", "broken"),
		"429 with Not-Executed": answer(429, "Not-Executed: 1\r\nContent-Length: 4\r\n", "full"),
		"204":                   answer(204, "", ""),
		"a page":                answer(200, "Content-Type: text/html\r\nContent-Length: 9\r\n", "<p>busy\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			broken := brokenStream(3)
			var begun atomic.Bool
			reply := func(c net.Conn, q *runner.Request) bool {
				if begun.CompareAndSwap(false, true) {
					return broken(c, q)
				}
				return next(c, q)
			}
			r := newRig(t, reply)
			r.list = append(r.list, r.list[0], r.list[0])
			r.list[1].ID, r.list[2].ID = "s1", "s2" // the same runner under other names
			r.fleet.Update(r.list)
			got := r.send(http.MethodPost, "/stream/x", "1", nil)
			if got.status != 200 || got.body != events(1, 3) || got.err == nil {
				t.Errorf("got status %d with %q (%v), want the three events and an incomplete body", got.status, got.body, got.err)
			}
		})
	}
}

// withoutRetryBudget replaces the relay by one that allows no retries.
func (r *rig) withoutRetryBudget() {
	r.relay = relay.New(relay.WithFleet(r.fleet), relay.WithSettings(relay.Settings{RetryWindow: 10 * time.Second}))
	r.plan(1, nil)
	srv := httptest.NewServer(r.relay)
	r.t.Cleanup(srv.Close)
	r.url = srv.URL
}

// A slow answer is waited for if no other server may be asked: without it, the
// work of the server is lost and the caller gets a failure.
func TestSlowAnswerWithoutBudget(t *testing.T) {
	const latency = 900 * time.Millisecond // longer than a stream's head usually takes
	r := newRig(t, func(c net.Conn, q *runner.Request) bool {
		<-time.After(latency)
		return runner.Events(1, 2, 0, "")(c, q)
	})
	r.withoutRetryBudget()
	if got := r.send(http.MethodPost, "/stream/x", "1", nil); got.status != 200 || got.body != events(1, 2) {
		t.Errorf("got status %d with %q, want the whole answer", got.status, got.body)
	}
	if got := r.runs(); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}
