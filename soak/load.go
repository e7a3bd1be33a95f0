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

	"citronledge.example/stub/users"
)

const (
	callers = 12
	// callerDeadline is what callers allow, and callerPatience when they give
	// up an answer that does not come.
	callerDeadline = 3 * time.Second
	callerPatience = 5 * time.Second
	// crossing is how long after a request was sent its connection may be
	// closed unanswered: the close was on its way already.
	crossing   = 300 * time.Millisecond
	thinkTime  = 15 * time.Millisecond
	retryRatio = 0.9
	retrySlack = 64.0
)

// phase of a run; see the package comment.
type phase int32

const (
	planned phase = iota
	faulty
	quiet
)

// balancer knows which gates say that they are ready, as the platform's load
// balancer does: two questions without a yes take a gate out.
type balancer struct {
	gates []*member
	out   []atomic.Int32 // questions in a row without a yes
}

const (
	askReady = 250 * time.Millisecond
	outAfter = 2
)

func newBalancer(gates []*member) *balancer {
	b := &balancer{gates: gates, out: make([]atomic.Int32, len(gates))}
	for i := range b.out {
		b.out[i].Store(outAfter)
	}
	return b
}

func (b *balancer) run(ctx context.Context) {
	client := &http.Client{Timeout: askReady, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		for i, g := range b.gates {
			resp, err := client.Get("http://" + at(g.ip, readyPort) + users.ReadyPath)
			if err == nil {
				_ = resp.Body.Close()
			}
			if err == nil && resp.StatusCode == http.StatusOK {
				b.out[i].Store(0)
			} else {
				b.out[i].Add(1)
			}
		}
		sleep(ctx, askReady)
	}
}

// pick returns a gate that is ready, or nil.
func (b *balancer) pick(r *rand.Rand) *member {
	first := r.IntN(len(b.gates))
	for i := range b.gates {
		if n := (first + i) % len(b.gates); b.out[n].Load() < outAfter {
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

// caller sends requests one after the other and keeps its connection for as
// long as the gate does.
type caller struct {
	recorder *recorder
	phase    *atomic.Int32
	rand     *rand.Rand
	name     string
	sent     int

	conn net.Conn
	in   *bufio.Reader
	gate string // name and boot
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *caller) connect(g *member) bool {
	boot := g.boot()
	conn, err := net.DialTimeout("tcp", g.front.ln.Addr().String(), time.Second)
	if err != nil {
		return false
	}
	c.conn, c.in, c.gate = conn, bufio.NewReader(conn), fmt.Sprintf("%s#%d", g.name, boot)
	return true
}

// run sends requests until ctx ends. versions returns the newest configuration
// that was sent.
func (c *caller) run(ctx context.Context, lb *balancer, versions func() int) {
	defer c.close()
	for ctx.Err() == nil {
		if c.conn == nil {
			g := lb.pick(c.rand)
			if g == nil || !c.connect(g) {
				sleep(ctx, askReady/4)
				continue
			}
		}
		if newest := versions(); newest > 0 && c.rand.IntN(5) == 0 {
			c.marker(max(1, newest-c.rand.IntN(3)))
		} else {
			c.send([]string{"/once/x", "/safe/x", "/stream/x"}[c.rand.IntN(3)])
		}
		sleep(ctx, thinkTime)
	}
}

// answer is what came for a request.
type answer struct {
	status int
	said   users.AnswerHead
	body   string
	err    error // of the head or the body
	head   bool  // the head has come
	took   time.Duration
}

// exchange sends a request on the open connection and reads the answer.
func (c *caller) exchange(path, id, content string) answer {
	start := time.Now()
	_ = c.conn.SetDeadline(start.Add(callerPatience))
	a := answer{}
	q := users.Request{Path: path, Host: host, ID: id, Key: key, Body: content, Deadline: callerDeadline, MaxEvents: streamEvents}
	_, a.err = q.WriteTo(c.conn)
	var resp *http.Response
	if a.err == nil {
		resp, a.err = http.ReadResponse(c.in, nil)
	}
	if a.err == nil {
		var body []byte
		body, a.err = io.ReadAll(resp.Body)
		a.status, a.said, a.body, a.head = resp.StatusCode, users.ParseAnswerHead(resp.Header), string(body), true
	}
	a.took = time.Since(start)
	if a.err != nil || resp.Close {
		c.close()
	}
	return a
}

func (c *caller) id() string {
	c.sent++
	c.recorder.count("requests")
	return fmt.Sprintf("%s-%d", c.name, c.sent)
}

// send sends a request that every configuration allows and judges the answer.
// It tells whether the request was served.
func (c *caller) send(path string) bool {
	id, gate := c.id(), c.gate
	content := "question " + id
	calm := phase(c.phase.Load()) == planned
	a := c.exchange(path, id, content)
	calm = calm && phase(c.phase.Load()) == planned
	switch {
	case !a.head:
		c.unanswered(path, id, gate, calm, a)
	case a.status == http.StatusOK:
		return c.success(path, id, content, gate, calm, a)
	case a.said.Signature != "":
		c.recorder.count("failed by its server")
		if a.err == nil && (a.status != http.StatusInternalServerError || a.body != "failed "+id) {
			c.recorder.find("%s: got %d %q with a server's signature, which no server has sent", id, a.status, a.body)
		}
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
		c.recorder.refused(id, path, fmt.Sprintf("%d by %s", a.status, gate))
		if !a.said.HasRetryAfter {
			c.recorder.count("refused without a time to come back")
		}
	case a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout:
		c.recorder.count("failed")
		if calm {
			c.recorder.find("%s %s: %d by %s while only planned events go on: %s", id, path, a.status, gate, strings.TrimSpace(a.body))
		}
	default:
		c.recorder.find("%s %s: %d by %s for a proper request: %s", id, path, a.status, gate, strings.TrimSpace(a.body))
	}
	return false
}

// unanswered judges a connection that ended without an answer.
func (c *caller) unanswered(path, id, gate string, calm bool, a answer) {
	c.recorder.count("closed without an answer")
	if !calm {
		return
	}
	switch runs := c.recorder.ranAt(id); {
	case errors.Is(a.err, os.ErrDeadlineExceeded):
		c.recorder.find("%s %s: no answer by %s in %v while only planned events go on", id, path, gate, a.took)
	case runs > 0:
		c.recorder.find("%s %s: %s closed the connection of a request that has run, %v after it was sent", id, path, gate, a.took)
	case a.took > crossing:
		c.recorder.find("%s %s: %s closed the connection %v after it had the whole request", id, path, gate, a.took)
	}
}

// success judges an answer with status 200.
func (c *caller) success(path, id, content, gate string, calm bool, a answer) bool {
	want := ""
	if strings.HasPrefix(path, "/stream/") {
		var all strings.Builder
		for n := 1; n <= streamEvents; n++ {
			all.WriteString(wantEvent(id, n))
		}
		want = all.String()
	} else {
		want = wantBody(path, id, []byte(content))
	}
	switch {
	case a.said.Signature != "sig-"+id || a.said.ID != id:
		c.recorder.find("%s: a success by %s without its server's signature: %+v", id, gate, a.said)
	case a.err == nil && a.body == want:
		c.recorder.count("served")
		return true
	case a.err == nil:
		c.recorder.find("%s: got the whole answer %q by %s, want %q", id, a.body, gate, want)
	case !strings.HasPrefix(want, a.body):
		c.recorder.find("%s: got %q before %s broke off, want a start of %q", id, a.body, gate, want)
	default:
		c.recorder.count("broken off")
		if calm {
			c.recorder.find("%s %s: %s broke off an answer while only planned events go on: %v", id, path, gate, a.err)
		}
	}
	return false
}

// markerPath is allowed by one version of the configuration only.
func markerPath(version int) string { return fmt.Sprintf("/m%d/x", version) }

// marker sends a request that one version of the configuration allows. It
// tells whether it was served.
func (c *caller) marker(version int) bool {
	id, gate := c.id(), c.gate
	before := c.recorder.newest(gate)
	path := markerPath(version)
	a := c.exchange(path, id, "")
	if !a.head || a.err != nil || a.status != http.StatusOK {
		return false
	}
	if a.body != wantBody(path, id, nil) {
		c.recorder.find("%s: got %q by %s, want %q", id, a.body, gate, wantBody(path, id, nil))
	}
	c.recorder.worked(gate, version, before)
	return true
}

// runCallers sends requests until ctx ends.
func (s *soak) runCallers(ctx context.Context, lb *balancer) {
	var wait sync.WaitGroup
	for i := range callers {
		c := &caller{recorder: s.recorder, phase: &s.phase, rand: s.source(100 + uint64(i)), name: fmt.Sprintf("c%d", i)}
		wait.Go(func() { c.run(ctx, lb, s.operator.newest) })
	}
	wait.Wait()
}
