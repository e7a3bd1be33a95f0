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

	"citronledge.example/core/crash"
	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
	"citronledge.example/gate/fleet"
)

// maxRequestCrashes is the number of servers that a request may crash before it
// gets no further attempt, whatever its prompt is blamed for.
const maxRequestCrashes = 2

// withQuarantine calls f with the quarantine. If f panics, the mutex is free again.
func (r *Relay) withQuarantine(f func(q *policy.Quarantine)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.quarantine)
}

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
	suspects := c.suspects()
	var block policy.Block
	var blocked bool
	c.r.withQuarantine(func(q *policy.Quarantine) { block, blocked = q.Blocked(suspects, time.Now()) })
	if blocked {
		c.r.metrics.quarantined.Inc()
		c.reason = "the prompt has a part that crashes backend servers: " + hashList(block.Parts)
		if slices.Contains(block.Parts, ident.PromptPart(c.contentHash())) {
			c.reason = "the request crashes backend servers: " + hashList(block.Parts)
		}
	}
	return block, blocked
}

// serverEnded records that the connection to the server ended with err, before the end
// of the answer.
func (x *attempt) serverEnded(err error, progress crash.Progress) {
	if !crash.IsServerEnd(err) {
		return
	}
	now := time.Now()
	x.end = &crash.End{Progress: progress, Ran: now.Sub(x.attemptStart), Reused: x.reused}
	if x.headLatency > 0 {
		x.end.Answering = x.end.Ran - x.headLatency
	}
}

// recordEndOfServer finds out whether the server's process has ended, and blames the
// request if it has. If that does not show yet, the crash is recorded once it does.
func (x *attempt) recordEndOfServer(ctx context.Context) {
	if x.end == nil || x.quarantinedOff.Load() {
		return
	}
	c := policy.Crash{
		Server: fleet.HashBackend(x.assignment.ID), Request: x.contentHash(), Parts: x.promptParts(),
		Weak: x.end.MayBeBystander(), At: x.attemptStart.Add(x.end.Ran), Ran: x.end.Ran,
	}
	r, server := x.r, x.assignment.ID
	verdict, probe := x.end.Watch(ctx, x.assignment.Conns().Probe, func() { r.blame(c, server) })
	klog.InfoS("Backend server ended a connection before the end of the answer", "id", x.head.AttemptID, "try", x.attempts, "backend", server, "ran", x.end.Ran, "reused", x.end.Reused,
		"head", x.headLatency, "events", x.eventsSent, "parts", partIDs(x.call), "probe", probe, "crashed", verdict == crash.Crashed)
	if verdict != crash.Crashed {
		return
	}
	x.cutOff = true
	if !c.Weak || x.end.Progress == crash.None && probe == crash.Refused {
		x.crashes++
	}
	r.blame(c, server)
}

// blame records a crash and ends the attempts that must not crash further servers.
func (r *Relay) blame(c policy.Crash, server ident.Backend) {
	now := time.Now()
	var blocks []policy.Block
	r.withQuarantine(func(q *policy.Quarantine) {
		if blocks = q.RecordCrash(c, now); len(blocks) > 0 {
			r.abandonQuarantined(now)
		}
	})
	klog.InfoS("Crash of a backend server recorded", "backend", server, "weak", c.Weak, "ran", c.Ran, "content", fmt.Sprintf("%016x", c.Request), "hashes", hashList(c.Parts))
	for _, b := range blocks {
		logBlock(b, "this gate")
	}
}

// longAnswer is how long an answer has to be under way to be evidence that its request
// crashes no servers. Endless streams would give none otherwise.
const longAnswer = 5 * time.Second

// recordProgress records a part of a stream.
func (x *attempt) recordProgress() {
	if !x.sound && time.Since(x.attemptStart) > x.headLatency+longAnswer {
		x.recordSound()
	}
}

// recordSound records that the request does not crash servers: its answer is whole, or
// has been under way for long.
func (x *attempt) recordSound() {
	x.sound = true
	parts, content := x.promptParts(), x.contentHash()
	var released []ident.PromptPart
	x.r.withQuarantine(func(q *policy.Quarantine) { released = q.RecordSound(parts, content, time.Now()) })
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
	var blocks []policy.Block
	var released []ident.PromptPart
	r.withQuarantine(func(q *policy.Quarantine) {
		if blocks, released = q.Merge(news, now); len(blocks) > 0 {
			r.abandonQuarantined(now)
		}
	})
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
		klog.InfoS("Quarantine ended: a request was answered", "part", fmt.Sprintf("%016x", uint64(part)), "seen", seenBy)
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
