package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"citronledge.example/core/reply"
	"citronledge.example/stub/users"
)

const (
	callerCount = 12
	// callerDeadline is the deadline that callers send with each request.
	callerDeadline = 3 * time.Second
	// callerTimeout is how long callers wait for an answer.
	callerTimeout = 5 * time.Second
	// closeRaceWindow is how long after sending a request the caller may see its
	// connection closed without an answer: the gate may have closed it before the
	// request arrived.
	closeRaceWindow  = 300 * time.Millisecond
	thinkTime        = 15 * time.Millisecond
	retryBudgetRatio = 0.9
	retryBudgetSlack = 64.0
)

// phase is a phase of a run; see the package comment.
type phase int32

const (
	phasePlanned phase = iota
	phaseFaulty
	phaseRecovery
)

// loadBalancer polls the readiness of the gates like the platform's load
// balancer: two failed probes in a row take a gate out of use.
type loadBalancer struct {
	gates        []*member
	failedProbes []atomic.Int32 // consecutive failed readiness probes by gate
}

const (
	probeInterval   = 250 * time.Millisecond
	maxFailedProbes = 2
)

func newLoadBalancer(gates []*member) *loadBalancer {
	b := &loadBalancer{gates: gates, failedProbes: make([]atomic.Int32, len(gates))}
	for i := range b.failedProbes {
		b.failedProbes[i].Store(maxFailedProbes)
	}
	return b
}

func (b *loadBalancer) run(ctx context.Context) {
	client := &http.Client{Timeout: probeInterval, Transport: reply.NewTransport(&http.Transport{DisableKeepAlives: true})}
	for ctx.Err() == nil {
		for i, g := range b.gates {
			resp, err := client.Get("http://" + hostPort(g.ip, readyPort) + users.ReadyPath)
			if err == nil {
				_ = resp.Body.Close()
			}
			if err == nil && resp.StatusCode == http.StatusOK {
				b.failedProbes[i].Store(0)
			} else {
				b.failedProbes[i].Add(1)
			}
		}
		sleep(ctx, probeInterval)
	}
}

// pick returns a gate that is ready, or nil.
func (b *loadBalancer) pick(r *rand.Rand) *member {
	first := r.IntN(len(b.gates))
	for i := range b.gates {
		if n := (first + i) % len(b.gates); b.failedProbes[n].Load() < maxFailedProbes {
			return b.gates[n]
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// caller sends requests one after the other, on one connection for as long as
// the gate keeps it open.
type caller struct {
	recorder *recorder
	phase    *atomic.Int32
	rand     *rand.Rand
	name     string
	sent     int

	conn     *reply.Conn
	reader   *bufio.Reader
	gateBoot string // name and start number of the gate that conn leads to
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *caller) connect(g *member) bool {
	boot := g.boot()
	conn, err := net.DialTimeout("tcp", g.frontProxy.ln.Addr().String(), time.Second)
	if err != nil {
		return false
	}
	c.conn = reply.NewConn(conn)
	c.reader, c.gateBoot = bufio.NewReader(c.conn), fmt.Sprintf("%s#%d", g.name, boot)
	return true
}

// run sends requests until ctx ends. versions returns the version of the newest
// configuration that was sent, or 0.
func (c *caller) run(ctx context.Context, lb *loadBalancer, versions func() int) {
	defer c.close()
	for ctx.Err() == nil {
		if c.conn == nil {
			g := lb.pick(c.rand)
			if g == nil || !c.connect(g) {
				sleep(ctx, probeInterval/4)
				continue
			}
		}
		if newest := versions(); newest > 0 && c.rand.IntN(5) == 0 {
			c.sendMarker(max(1, newest-c.rand.IntN(3)))
		} else {
			c.send([]string{"/once/x", "/safe/x", "/stream/x"}[c.rand.IntN(3)])
		}
		sleep(ctx, thinkTime)
	}
}

// answer is what a caller received for a request.
type answer struct {
	status       int
	head         users.AnswerHead
	body         string
	err          error // from writing the request or reading the answer
	headReceived bool  // status and head are valid
	duration     time.Duration
}

// exchange sends a request on the open connection and reads the answer.
func (c *caller) exchange(path, id, content string) answer {
	start := time.Now()
	_ = c.conn.SetDeadline(start.Add(callerTimeout))
	a := answer{}
	q := users.Request{Path: path, Host: host, ID: id, Key: key, Body: content, Deadline: callerDeadline, MaxEvents: eventsPerStream}
	c.conn.BeginRequest()
	_, a.err = q.WriteTo(c.conn)
	c.conn.EndRequest()
	var resp *http.Response
	if a.err == nil {
		resp, a.err = http.ReadResponse(c.reader, nil)
	}
	if a.err == nil {
		var body []byte
		body, a.err = io.ReadAll(resp.Body)
		a.status, a.head, a.body, a.headReceived = resp.StatusCode, users.ParseAnswerHead(resp.Header), string(body), true
	}
	a.duration = time.Since(start)
	if a.err != nil || resp.Close {
		c.close()
	}
	return a
}

func (c *caller) nextID() string {
	c.sent++
	c.recorder.count("requests")
	return fmt.Sprintf("%s-%d", c.name, c.sent)
}

// send sends a request that every configuration allows, checks the answer and
// reports whether the request was served.
func (c *caller) send(path string) bool {
	id, gate := c.nextID(), c.gateBoot
	content := "question " + id
	onlyPlanned := phase(c.phase.Load()) == phasePlanned
	a := c.exchange(path, id, content)
	onlyPlanned = onlyPlanned && phase(c.phase.Load()) == phasePlanned
	switch {
	case !a.headReceived:
		c.judgeUnanswered(path, id, gate, onlyPlanned, a)
	case a.status == http.StatusOK:
		return c.judgeSuccess(path, id, content, gate, onlyPlanned, a)
	case a.head.Signature != "":
		c.recorder.count("failed by the backend server")
		if a.err == nil && (a.status != http.StatusInternalServerError || a.body != "failed "+id) {
			c.recorder.addFinding("%s: got %d %q with a server's signature, which no server has sent", id, a.status, a.body)
		}
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
		c.recorder.recordRefusal(id, path, fmt.Sprintf("%d by %s", a.status, gate))
		if !a.head.HasRetryAfter {
			c.recorder.count("refused without Retry-After")
		}
	case a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout:
		c.recorder.count("failed")
		if onlyPlanned {
			c.recorder.addFinding("%s %s: %d by %s during planned events only: %s", id, path, a.status, gate, strings.TrimSpace(a.body))
		}
	default:
		c.recorder.addFinding("%s %s: %d by %s for a valid request: %s", id, path, a.status, gate, strings.TrimSpace(a.body))
	}
	return false
}

// judgeUnanswered checks whether a connection may have ended without an answer.
func (c *caller) judgeUnanswered(path, id, gate string, onlyPlanned bool, a answer) {
	c.recorder.count("closed without an answer")
	if !onlyPlanned {
		return
	}
	switch runs := c.recorder.runCount(id); {
	case errors.Is(a.err, os.ErrDeadlineExceeded):
		c.recorder.addFinding("%s %s: no answer by %s in %v during planned events only", id, path, gate, a.duration)
	case runs > 0:
		c.recorder.addFinding("%s %s: %s closed the connection of a request that has run, %v after it was sent", id, path, gate, a.duration)
	case a.duration > closeRaceWindow:
		c.recorder.addFinding("%s %s: %s closed the connection %v after it had the whole request", id, path, gate, a.duration)
	}
}

// judgeSuccess checks an answer with status 200 and reports whether it is
// complete.
func (c *caller) judgeSuccess(path, id, content, gate string, onlyPlanned bool, a answer) bool {
	want := ""
	if strings.HasPrefix(path, "/stream/") {
		var all strings.Builder
		for n := 1; n <= eventsPerStream; n++ {
			all.WriteString(expectedEvent(id, n))
		}
		want = all.String()
	} else {
		want = expectedBody(path, id, []byte(content))
	}
	switch {
	case a.head.Signature != "sig-"+id || a.head.ID != id:
		c.recorder.addFinding("%s: a success by %s without its server's signature: %+v", id, gate, a.head)
	case a.err == nil && a.body == want:
		c.recorder.count("served")
		return true
	case a.err == nil:
		c.recorder.addFinding("%s: got the whole answer %q by %s, want %q", id, a.body, gate, want)
	case !strings.HasPrefix(want, a.body):
		c.recorder.addFinding("%s: got %q before %s broke off, want a start of %q", id, a.body, gate, want)
	default:
		c.recorder.count("broken off")
		if onlyPlanned {
			c.recorder.addFinding("%s %s: %s broke off an answer during planned events only: %v", id, path, gate, a.err)
		}
	}
	return false
}

// markerPath returns a path that only one version of the configuration allows.
func markerPath(version int) string { return fmt.Sprintf("/m%d/x", version) }

// sendMarker sends a request that only one version of the configuration allows,
// and reports whether it was served.
func (c *caller) sendMarker(version int) bool {
	id, gate := c.nextID(), c.gateBoot
	before := c.recorder.newestServed(gate)
	path := markerPath(version)
	a := c.exchange(path, id, "")
	if !a.headReceived || a.err != nil || a.status != http.StatusOK {
		return false
	}
	if a.body != expectedBody(path, id, nil) {
		c.recorder.addFinding("%s: got %q by %s, want %q", id, a.body, gate, expectedBody(path, id, nil))
	}
	c.recorder.recordServed(gate, version, before)
	return true
}

// runCallers sends requests until ctx ends.
func (s *soak) runCallers(ctx context.Context, lb *loadBalancer) {
	var wait sync.WaitGroup
	for i := range callerCount {
		c := &caller{recorder: s.recorder, phase: &s.phase, rand: s.newRand(100 + uint64(i)), name: fmt.Sprintf("c%d", i)}
		wait.Go(func() { c.run(ctx, lb, s.operator.newestSent) })
	}
	wait.Wait()
}
