package route

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
	"citronledge.example/gate/pool"
)

// contentHash returns a hash of what the repeats of a request by its customer have
// in common.
func (r *Request) contentHash() uint64 {
	h := xxhash.New()
	for _, s := range []string{r.Kind.String(), string(r.Customer), string(r.Route), r.Method, r.Path} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return max(1, h.Sum64())
}

// checkQuarantine refuses an attempt of a request that crashes backend servers.
func (x *execution) checkQuarantine() error {
	x.r.quarantineMu.Lock()
	defer x.r.quarantineMu.Unlock()
	block, blocked := x.r.quarantine.Blocked(policy.Suspects(nil, x.content), time.Now())
	if !blocked {
		return nil
	}
	x.record.addNote("crashes backend servers")
	return fault.New(fault.Busy, "the request crashes backend servers; change it before sending it again").WithRetryAfter(block.Left)
}

// recordCrash records whether the backend server ended as it had the request, whatever
// had come of the answer. Only a whole answer clears the request.
func (x *execution) recordCrash(id ident.Backend, out pool.Outcome, took time.Duration, err error) {
	now := time.Now()
	x.r.quarantineMu.Lock()
	defer x.r.quarantineMu.Unlock()
	x.r.quarantine.Expire(now)
	switch {
	case err == nil:
		x.r.quarantine.RecordSound(nil, x.content, now)
	case out.Broke:
		c := policy.Crash{Server: uint32(xxhash.Sum64String(string(id))), Request: x.content, Weak: true, At: now, Ran: took}
		blocks := x.r.quarantine.RecordCrash(c, now)
		klog.InfoS("Backend server ended as it had the request", "id", x.req.ID, "backend", id, "ran", took, "content", fmt.Sprintf("%016x", x.content), "quarantined", len(blocks) > 0)
	}
	// Gates with side processes exchange no news of crashes. Taking the news discards
	// them, so that they do not accumulate.
	x.r.quarantine.TakeNews(now)
}
