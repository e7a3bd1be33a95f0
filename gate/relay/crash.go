package relay

import (
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

// recordCrash records a server that ended the connection without an answer, or
// as its answer began, as one does that the request crashes.
func (x *attempt) recordCrash() {
	if !x.cutOff && !x.brokenOff || x.quarantinedOff.Load() || x.eventsSent > 0 {
		return
	}
	c := policy.Crash{Server: fleet.HashBackend(x.assignment.ID), Request: x.contentHash()}
	if x.brokenOff {
		if c.Parts = x.promptParts(); len(c.Parts) == 0 && x.route.Type != plan.RouteStream {
			return // a short answer alone is no sign of a crash
		}
		x.crashes++
	}
	now := time.Now()
	x.r.mu.Lock()
	blocks := x.r.quarantine.RecordCrash(c, now)
	if len(blocks) > 0 {
		x.r.abandonQuarantined(now)
	}
	x.r.mu.Unlock()
	klog.InfoS("Answer broke off as it began", "id", x.head.AttemptID, "try", x.attempts, "backend", x.assignment.ID, "head", x.headLatency, "events", x.eventsSent, "content", fmt.Sprintf("%016x", c.Request), "parts", partIDs(x.call), "hashes", hashList(c.Parts))
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
