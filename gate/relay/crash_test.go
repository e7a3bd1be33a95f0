package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"citronledge.example/stub/runner"
)

const (
	deadlyPrompt = "ba5e:100,dead:20,%x:5"
	soundPrompt  = "ba5e:100,%x:5"
)

// crashingReply answers with a stream, unless the prompt has the part dead: then
// it begins the answer and ends the connection a while later. The while is long
// enough for crashes not to look like one loss of power.
func crashingReply(c net.Conn, r *runner.Request) bool {
	if !strings.Contains(r.Header.Get("Prefix-Hash"), "dead:") {
		return runner.Events(1, 3, 0, "")(c, r)
	}
	_, _ = io.WriteString(c, runner.ResponseHead(http.StatusOK, r, "Transfer-Encoding: chunked\r\n\r\n"))
	<-time.After(250 * time.Millisecond)
	return false
}

// deadlyRuns returns how many requests with the part dead have reached runners.
func (r *rig) deadlyRuns() (n int) {
	for _, x := range r.runners {
		for _, q := range x.Requests() {
			if strings.Contains(q.Header.Get("Prefix-Hash"), "dead:") {
				n++
			}
		}
	}
	return n
}

// A part of a prompt that crashes each server that begins to answer it must not
// crash one server after the other. Requests that share its other parts are
// served at their first attempt.
func TestPromptPartCrashesServers(t *testing.T) {
	const (
		requests = 12
		maxRuns  = 8 // three after the fifth crash
	)
	r := newRig(t, crashingReply, crashingReply, crashingReply, crashingReply, crashingReply, crashingReply)
	refused := 0
	for i := range requests {
		got := r.sendBody(http.MethodPost, "/stream/x", fmt.Sprint("sound", i), fmt.Sprint("sound", i), map[string]string{"Prefix-Hash": fmt.Sprintf(soundPrompt, i)})
		if got.status != http.StatusOK || got.body != events(1, 3) {
			t.Errorf("sound request %d: got status %d with %q (%v), want the whole stream", i, got.status, got.body, got.err)
		}
		switch got := r.sendBody(http.MethodPost, "/stream/x", fmt.Sprint("deadly", i), fmt.Sprint("deadly", i), map[string]string{"Prefix-Hash": fmt.Sprintf(deadlyPrompt, i)}); got.status {
		case http.StatusBadGateway: // it has run
		case http.StatusServiceUnavailable:
			refused++
			if got.header.Get("Retry-After") == "" {
				t.Errorf("deadly request %d is refused without a Retry-After", i)
			}
		default:
			t.Errorf("deadly request %d: got status %d, want 502 or 503", i, got.status)
		}
	}
	if got := r.deadlyRuns(); got > maxRuns {
		t.Errorf("%d requests with the deadly part reached servers, want at most %d", got, maxRuns)
	}
	if got := r.runs() - r.deadlyRuns(); got != requests {
		t.Errorf("the %d sound requests reached servers %d times, want once each", requests, got)
	}
	if refused == 0 {
		t.Error("no request with the deadly part was refused")
	}
}

// A part of a prompt must be found that ends the connections of servers before
// they begin to answer, whether these are closed or reset, at once or later.
func TestPromptPartEndsConnections(t *testing.T) {
	const (
		requests = 20
		maxRuns  = 8 // three after the fifth crash
	)
	for name, x := range map[string]struct {
		reset bool
		after time.Duration
	}{
		"closed": {false, 250 * time.Millisecond}, "reset": {true, 250 * time.Millisecond},
		"closed at once": {false, 0}, "reset at once": {true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			reply := func(c net.Conn, r *runner.Request) bool {
				if !strings.Contains(r.Header.Get("Prefix-Hash"), "dead:") {
					return runner.Events(1, 3, 0, "")(c, r)
				}
				<-time.After(x.after)
				if x.reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				return false
			}
			r := newRig(t, reply, reply, reply, reply, reply, reply)
			for i := range requests {
				r.sendBody(http.MethodPost, "/stream/x", fmt.Sprint("sound", i), fmt.Sprint("sound", i), map[string]string{"Prefix-Hash": fmt.Sprintf(soundPrompt, i)})
				r.sendBody(http.MethodPost, "/stream/x", fmt.Sprint("deadly", i), fmt.Sprint("deadly", i), map[string]string{"Prefix-Hash": fmt.Sprintf(deadlyPrompt, i)})
			}
			if got := r.deadlyRuns(); got > maxRuns {
				t.Errorf("%d requests with the deadly part reached servers, want at most %d", got, maxRuns)
			}
			if got := r.runs() - r.deadlyRuns(); got != requests {
				t.Errorf("the %d sound requests reached servers %d times, want once each", requests, got)
			}
		})
	}
}

// A request that waits at a server when its prompt is found to crash servers must
// not be left to crash this one too.
func TestWaitingPromptLeavesServer(t *testing.T) {
	r := newRig(t, crashingReply, crashingReply, crashingReply)
	waiting, abandoned := make(chan bool, 1), make(chan bool, 1)
	patient, err := runner.Start(func(c net.Conn, _ *runner.Request) bool {
		waiting <- true
		_, _ = io.Copy(io.Discard, c) // until the gate leaves
		abandoned <- true
		return false
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(patient.Close)
	crashing := r.list
	r.list = append(crashing[:3:3], crashing[0])
	r.list[3].ID, r.list[3].Address = "patient", patient.Addr()
	r.fleet.Update(r.list[3:])
	status := make(chan int)
	go func() {
		// On this route, only the deadline ends the wait for an answer.
		status <- r.sendBody(http.MethodPost, "/once/x", "waiting", "waiting", map[string]string{"Prefix-Hash": fmt.Sprintf(deadlyPrompt, 99)}).status
	}()
	<-waiting
	r.fleet.Update(crashing)
	for i := range 2 {
		r.sendBody(http.MethodPost, "/stream/x", fmt.Sprint("deadly", i), fmt.Sprint("deadly", i), map[string]string{"Prefix-Hash": fmt.Sprintf(deadlyPrompt, i)})
	}
	<-abandoned
	if got := <-status; got != http.StatusBadGateway {
		t.Errorf("got status %d, want 502: it left its server, but may have run", got)
	}
}

// What one gate has seen of a deadly part holds at all gates. If it was sound
// before, a request under way goes on, and its answer ends the quarantine.
func TestPromptPartOfPeer(t *testing.T) {
	r, other := newRig(t, crashingReply, crashingReply, crashingReply), newRig(t, runner.Events(1, 3, 0, ""))
	sendTo := func(r *rig, prompt string) int {
		return r.sendBody(http.MethodPost, "/stream/x", "other", prompt, map[string]string{"Prefix-Hash": prompt}).status
	}
	if got := sendTo(other, fmt.Sprintf(deadlyPrompt, 6)); got != http.StatusOK {
		t.Errorf("got status %d at the other gate before the crashes, want 200", got)
	}
	for i := range 3 {
		r.sendBody(http.MethodPost, "/stream/x", fmt.Sprint("sound", i), fmt.Sprint("sound", i), map[string]string{"Prefix-Hash": fmt.Sprintf(soundPrompt, i)})
		r.sendBody(http.MethodPost, "/stream/x", fmt.Sprint("deadly", i), fmt.Sprint("deadly", i), map[string]string{"Prefix-Hash": fmt.Sprintf(deadlyPrompt, i)})
	}
	running := make(chan int)
	started, resume := make(chan bool, 8), make(chan bool)
	other.runners[0].SetReply(func(c net.Conn, q *runner.Request) bool {
		started <- true
		<-resume
		return runner.Events(1, 3, 0, "")(c, q)
	})
	go func() { running <- sendTo(other, fmt.Sprintf(deadlyPrompt, 7)) }()
	<-started
	other.relay.MergePartNews(r.relay.TakePartNews())
	if got := sendTo(other, fmt.Sprintf(deadlyPrompt, 8)); got != http.StatusServiceUnavailable {
		t.Errorf("got status %d at the other gate, want 503", got)
	}
	close(resume)
	if got := <-running; got != http.StatusOK {
		t.Errorf("got status %d of the request under way, want 200", got)
	}
	r.relay.MergePartNews(other.relay.TakePartNews())
	other.runners[0].SetReply(runner.Events(1, 3, 0, ""))
	r.runners[0].SetReply(runner.Events(1, 3, 0, ""))
	r.fleet.Update(r.list[:1])
	for name, x := range map[string]*rig{"first": r, "other": other} {
		if got := sendTo(x, fmt.Sprintf(deadlyPrompt, 9)); got != http.StatusOK {
			t.Errorf("%s gate: got status %d after a sound answer, want 200", name, got)
		}
	}
}

// A request that crashes each server that begins to run it must not crash one
// server after the other when its caller sends it again, at any gate. What it
// shares with others is not to blame.
func TestRequestCrashesServers(t *testing.T) {
	const (
		repeats = 6
		maxRuns = 6 // three after the third crash
	)
	begun := func(c net.Conn, r *runner.Request) bool {
		_, _ = io.WriteString(c, runner.ResponseHead(http.StatusOK, r, "Transfer-Encoding: chunked\r\n\r\n"))
		return false
	}
	silent := func(net.Conn, *runner.Request) bool { return false }
	for name, x := range map[string]struct {
		crash runner.Reply
		path  string
	}{
		"stream, begun":                   {begun, "/stream/x"},
		"stream, no answer":               {silent, "/stream/x"},
		"repeatable, no answer":           {silent, "/safe/x"},
		"must not be repeated, no answer": {silent, "/once/x"},
	} {
		t.Run(name, func(t *testing.T) {
			reply := func(c net.Conn, r *runner.Request) bool {
				if string(r.Content) != "deadly" {
					return runner.Events(1, 3, 0, "")(c, r)
				}
				<-time.After(250 * time.Millisecond) // crashes at one moment look like a loss of power
				return x.crash(c, r)
			}
			gates := []*rig{newRig(t, reply, reply, reply), newRig(t, reply, reply, reply)}
			deadly := 0
			for i := range repeats {
				r := gates[i%2]
				header := map[string]string{"Prefix-Hash": "ba5e:100,5e55:5"}
				if got := r.sendBody(http.MethodPost, x.path, fmt.Sprint("deadly", i), "deadly", header); got.status == http.StatusServiceUnavailable {
					deadly++
				}
				if got := r.sendBody(http.MethodPost, x.path, fmt.Sprint("sound", i), "sound", header); got.status != http.StatusOK {
					t.Errorf("sound request %d: got status %d, want 200", i, got.status)
				}
				news := r.relay.TakePartNews()
				gates[1-i%2].relay.MergePartNews(news)
			}
			runs := gates[0].runs() + gates[1].runs() - repeats
			if runs > maxRuns {
				t.Errorf("the deadly request reached servers %d times, want at most %d", runs, maxRuns)
			}
			if deadly == 0 {
				t.Error("the deadly request was never refused")
			}
		})
	}
}

// Guards against a prompt that lists a part several times, as a text that is pasted
// again: it must not stop the gate after its crashes (review/6).
func TestPromptRepeatsPart(t *testing.T) {
	r := newRig(t, crashingReply, crashingReply, crashingReply, crashingReply, crashingReply, crashingReply)
	done := make(chan bool)
	go func() {
		defer close(done)
		for i := range 6 {
			r.sendBody(http.MethodPost, "/stream/x", fmt.Sprint("deadly", i), fmt.Sprint("deadly", i), map[string]string{"Prefix-Hash": fmt.Sprintf("ba5e:100,dead:20,dead:20,dead:20,dead:20,dead:20,%x:5", i)})
			if got := r.sendBody(http.MethodPost, "/stream/x", fmt.Sprint("sound", i), fmt.Sprint("sound", i), map[string]string{"Prefix-Hash": fmt.Sprintf(soundPrompt, i)}); got.status != http.StatusOK {
				t.Errorf("sound request %d: got status %d (%v), want 200", i, got.status, got.err)
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("the gate hangs")
	}
	if got := r.deadlyRuns(); got > 8 {
		t.Errorf("%d requests with the deadly part reached servers, want at most 8", got)
	}
}
