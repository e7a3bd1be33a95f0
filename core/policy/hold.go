package policy

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

const (
	// DefaultStartTime is the time from the start of a gate until it can serve
	// that is assumed before any start was observed. After a loss of all
	// processes 0.75 to 1.06 s were measured.
	DefaultStartTime = 1100 * time.Millisecond
	// minStartTime and maxStartTime bound what is learnt from a start: a gate
	// that joins a running system can serve within milliseconds, which says
	// little about the recovery of a whole system, and a long time would make it
	// refuse what it could serve.
	minStartTime = 500 * time.Millisecond
	maxStartTime = 2500 * time.Millisecond
	// holdLimitFactor multiplies the expected start time to get the time after
	// which nothing is held, within minHoldLimit and maxHoldLimit. A system that
	// never had a configuration must not keep its callers for longer.
	holdLimitFactor = 2
	minHoldLimit    = 2 * time.Second
	maxHoldLimit    = 4 * time.Second
	// overdueFactor gives the expected remaining time of a start that takes
	// longer than expected, as a part of the time since the start.
	overdueFactor = 0.25
	// minHoldRetry is the least wait suggested with a refusal.
	minHoldRetry = 100 * time.Millisecond
	// serveReserve is the part of the time until a deadline that is kept to run
	// the request once it is released. The quickest requests of the platform
	// take 100 to 200 ms.
	serveReserve = 200 * time.Millisecond
	// unknownDeadline is assumed of callers that state no deadline. Their
	// targets are 1.5 to 2 s, and their time-outs longer.
	unknownDeadline = 3 * time.Second
	// releaseTime is the time over which the held requests are released, and
	// minReleaseRate the least rate per second. The requests of one second,
	// released in 0.3 s beside the new ones, are about four times the usual rate.
	releaseTime    = 300 * time.Millisecond
	minReleaseRate = 200
	// HoldOverhead is what one held request is charged beside its body: the
	// decoded header, the goroutine's larger stack and the entry itself.
	HoldOverhead = 6 << 10 // bytes
)

// ObservedStart returns the start time to expect after a start with the measured
// time took. expected is the time expected before it; 0 stands for
// DefaultStartTime. Starts beyond the
// time in which requests are held do not count: there was no configuration, or no
// state cluster.
func ObservedStart(expected, took time.Duration) time.Duration {
	expected = cmp.Or(expected, DefaultStartTime)
	if took > maxHoldLimit {
		return expected
	}
	return boundStartTime(expected + (took-expected)/2)
}

func boundStartTime(d time.Duration) time.Duration { return min(max(d, minStartTime), maxStartTime) }

// HoldID identifies a held request of one HoldQueue.
type HoldID uint64

// HoldConfig bounds a HoldQueue.
type HoldConfig struct {
	// Expected is the usual time from the start of the gate until it can serve;
	// 0 stands for DefaultStartTime.
	Expected time.Duration
	// MaxRequests and MaxBytes limit what is held. MaxBytes includes
	// HoldOverhead for each request.
	MaxRequests int
	MaxBytes    int64
}

// Reasons of a HoldQueue.
const (
	ReasonStarted   Reason = "the gate can serve"
	ReasonHeld      Reason = "held until the gate can serve"
	ReasonStartLate Reason = "the gate does not expect to serve before the deadline"
	ReasonStartFull Reason = "the queue of the starting gate is full"
	ReasonStartOver Reason = "the gate could not serve within the time expected"
)

// HoldQueue decides which requests a gate holds that cannot serve yet, and in
// which order they are released once it can. It is not safe for concurrent use.
type HoldQueue struct {
	cfg     HoldConfig
	started time.Time
	ready   time.Time // zero until the gate can serve
	release time.Time // of the next held request
	gap     time.Duration

	lastID HoldID
	held   map[HoldID]*heldRequest
	order  holdHeap // all of held
	bytes  int64
}

// heldRequest is an entry of a HoldQueue.
type heldRequest struct {
	id       HoldID
	deadline time.Time
	bytes    int64
	whole    bool // the body has arrived
	index    int  // in HoldQueue.order
}

// NewHoldQueue returns the queue of a gate that was started at a time.
func NewHoldQueue(cfg HoldConfig, started time.Time) *HoldQueue {
	cfg.Expected = boundStartTime(cmp.Or(cfg.Expected, DefaultStartTime))
	return &HoldQueue{cfg: cfg, started: started, held: map[HoldID]*heldRequest{}}
}

// End returns the time after which nothing is held, unless the gate can serve by
// then.
func (q *HoldQueue) End() time.Time {
	return q.started.Add(min(max(holdLimitFactor*q.cfg.Expected, minHoldLimit), maxHoldLimit))
}

// Started returns when the gate was started.
func (q *HoldQueue) Started() time.Time { return q.started }

// Len returns the number of held requests.
func (q *HoldQueue) Len() int { return len(q.held) }

// Bytes returns the bytes that the held requests are charged.
func (q *HoldQueue) Bytes() int64 { return q.bytes }

// expectedWait returns the time until the gate can probably serve.
func (q *HoldQueue) expectedWait(now time.Time) time.Duration {
	age := now.Sub(q.started)
	return max(q.cfg.Expected-age, time.Duration(overdueFactor*float64(age)))
}

// RetryAfter returns when a refused caller has a chance to be served, from now.
func (q *HoldQueue) RetryAfter(now time.Time) time.Duration {
	if !q.ready.IsZero() {
		return minHoldRetry
	}
	return max(minHoldRetry, q.expectedWait(now)+releaseTime/2)
}

// Offer decides what to do with a request that arrives. deadline is zero if the
// caller states none, and announced is the length of the body, or 0 if it is
// not known. Run means that the gate can serve; Wait that the request is held
// under the returned ID until Next names it or Drop removes it.
func (q *HoldQueue) Offer(now, deadline time.Time, announced int64) (HoldID, Admission) {
	if !q.ready.IsZero() {
		return 0, Admission{Action: Run, Reason: ReasonStarted}
	}
	if !now.Before(q.End()) {
		return 0, q.refusal(now, ReasonStartOver)
	}
	if deadline.IsZero() {
		deadline = now.Add(unknownDeadline)
	}
	// The requests with earlier deadlines are released first.
	wait := q.expectedWait(now)
	ahead := 0
	for _, h := range q.order {
		if !h.deadline.After(deadline) {
			ahead++
		}
	}
	wait += time.Duration(ahead) * releaseGap(len(q.held)+1)
	if now.Add(wait + serveReserve).After(deadline) {
		return 0, q.refusal(now, ReasonStartLate)
	}
	if len(q.held) >= q.cfg.MaxRequests || q.bytes+HoldOverhead+announced > q.cfg.MaxBytes {
		return 0, q.refusal(now, ReasonStartFull)
	}
	q.lastID++
	h := &heldRequest{id: q.lastID, deadline: deadline, bytes: HoldOverhead}
	q.held[h.id] = h
	heap.Push(&q.order, h)
	q.bytes += HoldOverhead
	return q.lastID, Admission{Action: Wait, Reason: ReasonHeld}
}

func (q *HoldQueue) refusal(now time.Time, why Reason) Admission {
	return Admission{Action: Refuse, RetryAfter: q.RetryAfter(now), Reason: why}
}

// releaseGap returns the time between two releases of n requests.
func releaseGap(n int) time.Duration {
	return min(releaseTime/time.Duration(max(1, n)), time.Second/minReleaseRate)
}

// Grow charges bytes of the body of a held request as they arrive. It returns
// false if they exceed the budget.
func (q *HoldQueue) Grow(id HoldID, n int64) bool {
	h := q.held[id]
	if h == nil {
		return true // the request has its turn already
	}
	if q.bytes+n > q.cfg.MaxBytes {
		return false
	}
	h.bytes += n
	q.bytes += n
	return true
}

// Complete marks a held request whose whole body has arrived. Others take no part
// in the order of the release: they run, or go on to wait for their bodies, once
// the gate can serve.
func (q *HoldQueue) Complete(id HoldID) {
	if h := q.held[id]; h != nil {
		h.whole = true
	}
}

// Drop removes a held request, for example because its caller has left.
func (q *HoldQueue) Drop(id HoldID) {
	h := q.held[id]
	if h == nil {
		return
	}
	heap.Remove(&q.order, h.index)
	delete(q.held, id)
	q.bytes -= h.bytes
}

// SetReady records that the gate can serve. The release of the held requests
// begins.
func (q *HoldQueue) SetReady(now time.Time) {
	if q.ready.IsZero() {
		q.ready, q.release, q.gap = now, now, releaseGap(len(q.held))
	}
}

// Next removes and returns the requests to run now, the earliest deadline first,
// and those to refuse. Refused are those that cannot be served before their
// deadlines any more, and all when the time to hold requests ends.
func (q *HoldQueue) Next(now time.Time) (run, refused []HoldID) {
	if q.ready.IsZero() && !now.Before(q.End()) {
		return nil, q.Clear()
	}
	late := now.Add(serveReserve)
	for len(q.order) > 0 && q.order[0].deadline.Before(late) {
		refused = append(refused, q.pop())
	}
	if q.ready.IsZero() {
		return nil, refused
	}
	for _, h := range slices.Clone(q.order) {
		if !h.whole {
			run = append(run, h.id)
			q.Drop(h.id)
		}
	}
	for len(q.order) > 0 && !q.release.After(now) {
		run = append(run, q.pop())
		q.release = q.release.Add(q.gap)
	}
	return run, refused
}

// pop removes the request with the earliest deadline.
func (q *HoldQueue) pop() HoldID {
	id := q.order[0].id
	q.Drop(id)
	return id
}

// Clear removes and returns all held requests, which are to be refused.
func (q *HoldQueue) Clear() []HoldID {
	ids := make([]HoldID, 0, len(q.held))
	for id := range q.held {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	q.held, q.order, q.bytes = map[HoldID]*heldRequest{}, nil, 0
	return ids
}

// holdHeap implements heap.Interface by deadline, then by arrival.
type holdHeap []*heldRequest

func (h holdHeap) Len() int { return len(h) }

func (h holdHeap) Less(i, j int) bool {
	if c := h[i].deadline.Compare(h[j].deadline); c != 0 {
		return c < 0
	}
	return h[i].id < h[j].id
}

func (h holdHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *holdHeap) Push(x any) {
	r := x.(*heldRequest)
	r.index = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *holdHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	return r
}
