package relay

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"citronledge.example/core/ident"
	"citronledge.example/core/plan"
	"citronledge.example/core/policy"
	"citronledge.example/gate/conn"
	"citronledge.example/gate/fleet"
)

// maxRequestCrashes is the number of servers that a request may crash before it
// gets no further attempt, whatever its prompt is blamed for.
const maxRequestCrashes = 2

// promptParts returns the hashes of the shared parts of the prompt with the
// service. What crashes the servers of one service may be sound at another.
func (c *call) promptParts() []ident.PromptPart {
	if c.partHashes == nil {
		for _, part := range c.sharedParts() {
			c.partHashes = append(c.partHashes, ident.PromptPart(xxhash.Sum64String(string(c.service)+" "+part.ID)))
		}
	}
	return c.partHashes
}

// contentHash returns a hash of what the repeats of a request by its caller have
// in common.
func (c *call) contentHash() uint64 {
	if c.content != 0 {
		return c.content
	}
	h := xxhash.New()
	for _, s := range []string{c.req.Method, c.req.Host, c.req.RequestURI, c.customerName()} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.body)
	c.content = max(1, h.Sum64())
	return c.content
}

// suspects returns what may be quarantined of the request.
func (c *call) suspects() []ident.PromptPart {
	return policy.Suspects(c.promptParts(), c.contentHash())
}

// refuseQuarantined refuses a request that crashes servers, itself or by a part
// of its prompt, and reports whether it did.
func (c *call) refuseQuarantined() bool {
	block, blocked := c.quarantined()
	if blocked {
		c.refuse(http.StatusServiceUnavailable, block.Left, c.reason)
	}
	return blocked
}

// quarantined returns the quarantine of the request or of a part of its prompt,
// if there is one, and makes it the reason why the request ends.
func (c *call) quarantined() (policy.Block, bool) {
	c.r.mu.Lock()
	block, blocked := c.r.quarantine.Blocked(c.suspects(), time.Now())
	c.r.mu.Unlock()
	if blocked {
		c.r.metrics.quarantined.Inc()
		c.reason = "the prompt has a part that crashes backend servers: " + hashList(block.Parts)
		if slices.Contains(block.Parts, ident.PromptPart(c.contentHash())) {
			c.reason = "the request crashes backend servers: " + hashList(block.Parts)
		}
	}
	return block, blocked
}

// minRunTime is the time from which the end of a connection without an answer
// shows that the request had begun to run. A server that has too many connections
// or closes an idle one ends it as soon as the request arrives.
const minRunTime = 20 * time.Millisecond

// confirmPauses are the pauses before a server is probed again that has ended a
// connection and then another one: the process may just be ending, or have too
// many connections.
var confirmPauses = []time.Duration{30 * time.Millisecond, 120 * time.Millisecond}

// hasCrashed reports whether the server's process ended while it had the request.
// If that does not show yet, the crash is recorded once it does.
func (x *attempt) hasCrashed(ctx context.Context, end conn.UnansweredError) bool {
	if !end.Closed() && !end.Reset() {
		return false
	}
	ran := time.Since(x.attemptStart)
	probe := x.assignment.Conns().Probe(ctx)
	klog.InfoS("Backend server ended a connection without an answer", "id", x.head.AttemptID, "backend", x.assignment.ID, "ran", ran, "reused", end.Reused, "probe", probe, "err", end.Cause)
	switch {
	case probe == conn.Refused:
		x.crashes++
		return true
	case probe != conn.Ended && (ran >= minRunTime || !end.Reused):
		return true // another process may listen for the one that has ended
	}
	x.r.confirmCrash(x.crash(true, time.Now()), x.assignment, confirmPauses)
	return false
}

// confirmCrash records a crash if no process listens at the server after one of
// the pauses.
func (r *Relay) confirmCrash(c policy.Crash, server *fleet.Assignment, pauses []time.Duration) {
	if len(pauses) == 0 {
		return
	}
	time.AfterFunc(pauses[0], func() {
		if server.Conns().Probe(context.Background()) != conn.Refused {
			r.confirmCrash(c, server, pauses[1:])
			return
		}
		r.blame(c, server.ID)
	})
}

// crash describes a crash of the server that has the request.
func (x *attempt) crash(unanswered bool, now time.Time) policy.Crash {
	return policy.Crash{
		Server: fleet.HashBackend(x.assignment.ID), Request: x.contentHash(), Parts: x.promptParts(),
		Unanswered: unanswered, At: now, Ran: now.Sub(x.attemptStart),
	}
}

// recordCrash records a server whose process ended without an answer, or as its
// answer began: the request may have crashed it.
func (x *attempt) recordCrash() {
	if !x.cutOff && !x.brokenOff || x.quarantinedOff.Load() || x.eventsSent > 0 {
		return
	}
	c := x.crash(x.cutOff, time.Now())
	if x.brokenOff {
		if len(c.Parts) == 0 && x.route.Type != plan.RouteStream {
			return // a short answer alone is no sign of a crash
		}
		x.crashes++
	}
	klog.InfoS("Backend server ended as it had the request", "id", x.head.AttemptID, "try", x.attempts, "backend", x.assignment.ID, "head", x.headLatency, "events", x.eventsSent, "parts", partIDs(x.call))
	x.r.blame(c, x.assignment.ID)
}

// blame records a crash and ends the attempts that must not crash further servers.
func (r *Relay) blame(c policy.Crash, server ident.Backend) {
	now := time.Now()
	r.mu.Lock()
	blocks := r.quarantine.RecordCrash(c, now)
	if len(blocks) > 0 {
		r.abandonQuarantined(now)
	}
	r.mu.Unlock()
	klog.InfoS("Crash of a backend server recorded", "backend", server, "unanswered", c.Unanswered, "ran", c.Ran, "content", fmt.Sprintf("%016x", c.Request), "hashes", hashList(c.Parts))
	for _, b := range blocks {
		logBlock(b, "this gate")
	}
}

// recordSound records that the answer has begun.
func (x *attempt) recordSound() {
	x.r.mu.Lock()
	released := x.r.quarantine.RecordSound(x.promptParts(), x.contentHash(), time.Now())
	x.r.mu.Unlock()
	logReleases(released, "this gate")
}

// awaitFirstEvent lets a new quarantine end the attempt until answerBegun is
// called.
func (x *attempt) awaitFirstEvent() {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	x.r.unanswered[x] = true
}

func (x *attempt) answerBegun() {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	delete(x.r.unanswered, x)
}

// abandonQuarantined ends the attempts that wait at a server whose answers would
// crash it. It must be called with mu held.
func (r *Relay) abandonQuarantined(now time.Time) {
	for x := range r.unanswered {
		if r.quarantine.MustLeave(x.suspects(), now) {
			x.quarantinedOff.Store(true)
			x.abandon()
		}
	}
}

// TakePartNews implements share.PartTable.
func (r *Relay) TakePartNews() policy.PartNews {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantine.TakeNews(time.Now())
}

// MergePartNews implements share.PartTable.
func (r *Relay) MergePartNews(news policy.PartNews) {
	now := time.Now()
	r.mu.Lock()
	blocks, released := r.quarantine.Merge(news, now)
	if len(blocks) > 0 {
		r.abandonQuarantined(now)
	}
	r.mu.Unlock()
	for _, b := range blocks {
		logBlock(b, "another gate")
	}
	logReleases(released, "another gate")
}

func logBlock(b policy.Block, seenBy string) {
	klog.InfoS("Quarantined: crashes backend servers", "parts", hashList(b.Parts), "for", b.Left, "times", b.Times, "seen", seenBy)
}

func logReleases(released []ident.PromptPart, seenBy string) {
	for _, part := range released {
		klog.InfoS("Quarantine ended: an answer has begun", "part", fmt.Sprintf("%016x", uint64(part)), "seen", seenBy)
	}
}

// maxLoggedParts limits the parts of a prompt in a log line.
const maxLoggedParts = 8

// partIDs lists the IDs of the shared parts of the prompt for a log line.
func partIDs(c *call) string {
	var ids []string
	for _, part := range c.sharedParts()[:min(maxLoggedParts, len(c.sharedParts()))] {
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, ",")
}

// hashList lists hashes for a log line.
func hashList(parts []ident.PromptPart) string {
	var hashes []string
	for _, part := range parts[:min(maxLoggedParts, len(parts))] {
		hashes = append(hashes, fmt.Sprintf("%016x", uint64(part)))
	}
	return strings.Join(hashes, ",")
}
