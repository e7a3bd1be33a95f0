package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
	"citronledge.example/platform"
	"citronledge.example/stub/runner"
)

// unfinishedAnswers are what a server may send to a request that it has read in
// full and then does not answer. It holds its connection.
var unfinishedAnswers = map[string]func(q *runner.Request) string{
	"nothing":          func(*runner.Request) string { return "" },
	"part of the head": func(q *runner.Request) string { return runner.ResponseHead(200, q, "Content-Le") },
	"head":             func(q *runner.Request) string { return runner.ResponseHead(200, q, chunkedEvents) },
	"part of an event": func(q *runner.Request) string {
		return runner.ResponseHead(200, q, chunkedEvents+runner.Chunk("id: 1\nda"))
	},
	"part of a chunk":   func(q *runner.Request) string { return runner.ResponseHead(200, q, chunkedEvents+"40\r\nid: 1") },
	"part of a body":    func(q *runner.Request) string { return runner.ResponseHead(200, q, "Content-Length: 9\r\n\r\nhalf") },
	"without a length":  func(q *runner.Request) string { return runner.ResponseHead(200, q, "\r\nid: 1") },
	"unsure model":      func(q *runner.Request) string { return runner.ResponseHead(200, q, "Confidence: 10\r\n"+chunkedEvents) },
	"part of a failure": func(q *runner.Request) string { return runner.ResponseHead(503, q, "Content-Length: 9\r\n\r\nbu") },
}

const (
	chunkedEvents = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	promptOfAll   = "5a1d:20,1a57:5"
)

// quarantine makes the relay quarantine the requests with promptOfAll.
func (r *rig) quarantine() {
	part := ident.PromptPart(xxhash.Sum64String(string(service) + " 5a1d"))
	r.relay.MergePartNews(policy.PartNews{Blocks: []policy.Block{{Parts: []ident.PromptPart{part}, Left: time.Minute, Times: 1}}})
}

// TestRefusalAfterRun guards against a status that promises that a request has not
// run, though a server has read it: the caller of a request that must run once at
// most then sends it again. Each way to leave a request without its answer meets each
// way in which the request ends, on each kind of route.
func TestRefusalAfterRun(t *testing.T) {
	const limit = 800 * time.Millisecond
	type ending struct {
		prepare               func(r *rig)
		routeTimeout, callers time.Duration // the timeout of the route and the deadline of the callers
		act                   func(r *rig)  // called when the servers have read the requests
		hangUp                bool          // the servers then end their connections
	}
	routes := map[string]struct {
		target      string
		onceStreams bool
	}{
		"safe":                {target: "/safe/x"},
		"once":                {target: "/once/x"},
		"stream":              {target: "/stream/x"},
		"sized stream":        {target: "/sized/x"},
		"stream, run once":    {target: "/stream/x", onceStreams: true},
		"sized, run once":     {target: "/sized/x", onceStreams: true},
		"sized, not a stream": {target: "/sizedonce/x"},
	}
	for name, e := range map[string]ending{
		"timeout of the route":   {routeTimeout: limit},
		"deadline of the caller": {callers: limit},
		"only one server":        {prepare: func(r *rig) { r.fleet.Update(r.list[:1]) }, callers: limit},
		"planned stop":           {act: func(r *rig) { r.relay.Drain(time.Now().Add(limit)) }},
		"quarantine":             {act: (*rig).quarantine, callers: limit},
		"evacuation":             {act: func(r *rig) { r.evacuate(3, "a") }, hangUp: true},
		"evacuation, at the end": {act: func(r *rig) { r.evacuate(3, "a") }, callers: limit},
		"servers are gone":       {act: func(r *rig) { r.fleet.Update(nil) }, hangUp: true},
		"servers end":            {hangUp: true},
		"no retry budget":        {prepare: (*rig).withoutRetryBudget, hangUp: true},
		"no budget, at the end":  {prepare: (*rig).withoutRetryBudget, callers: limit},
	} {
		for kind, route := range routes {
			t.Run(name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				hangUp := make(chan struct{})
				end := sync.OnceFunc(func() { close(hangUp) })
				reply := func(c net.Conn, q *runner.Request) bool {
					_, _ = io.WriteString(c, unfinishedAnswers[q.Header.Get("X-Unfinished")](q))
					go func() {
						<-hangUp
						_ = c.Close()
					}()
					return runner.NeverReply(c, q)
				}
				r := newRig(t, reply, reply)
				t.Cleanup(end)
				if e.prepare != nil {
					e.prepare(r)
				}
				if r.runOnce = route.onceStreams; e.routeTimeout > 0 {
					r.routeTimeout = e.routeTimeout
				}
				r.plan(2, nil)
				deadline := 2 * time.Second
				if e.callers > 0 {
					deadline = e.callers
				}
				var wait sync.WaitGroup
				got := map[string]answer{}
				var mu sync.Mutex // guards got
				for way := range unfinishedAnswers {
					wait.Go(func() {
						a := r.send(http.MethodPost, route.target, way, map[string]string{
							"X-Unfinished": way, "Deadline-Ms": fmt.Sprint(deadline.Milliseconds()), "Prefix-Hash": promptOfAll, "Model": "*", "Token-Usage": "100,10",
						})
						mu.Lock()
						defer mu.Unlock()
						got[way] = a
					})
				}
				if e.act != nil || e.hangUp {
					r.until("the servers read the requests", func() bool { return r.runs() >= len(unfinishedAnswers) })
				}
				if e.act != nil {
					e.act(r)
				}
				if e.hangUp {
					end()
				}
				wait.Wait()
				read := map[string]bool{}
				for _, x := range r.runners {
					for _, q := range x.Requests() {
						read[q.AttemptID()] = true
					}
				}
				if len(read) == 0 {
					t.Fatal("no request reached a server")
				}
				for way, a := range got {
					if read[way] && platform.PromisesNotRun(a.status) {
						t.Errorf("%s: got status %d (%q) of a request that a server has read", way, a.status, a.body)
					}
				}
			})
		}
	}
}
