package ledger

import (
	"maps"
	"slices"
	"strconv"

	"citronledge.example/core/fault"
	"citronledge.example/core/wire"
)

// incarnations holds the incarnations of gates and which of their sequence
// numbers are billed.
type incarnations struct {
	lastID uint64
	byID   map[uint64]*incarnation
	// retired lists the ids of retired incarnations by time of retirement.
	retired []uint64
}

// incarnation is one enrolment of a gate process.
type incarnation struct {
	name, zone   string
	retired      bool
	lastSequence uint64 // highest sequence number known to be in use
	updatedAt    uint64 // time of enrolment or retirement, in ms since the Unix epoch
	billed       sequenceSet
}

func newIncarnations() incarnations { return incarnations{byID: map[uint64]*incarnation{}} }

func (l *Ledger) enroll(c *wire.Command, e *wire.Enroll) *wire.Result {
	if e.GetName() == "" {
		return l.recordAudit(c, "enroll", "", "", refuse(fault.Invalid, "the enrolment has no name; set the name of the gate"))
	}
	l.incarnations.lastID++
	id := l.incarnations.lastID
	l.incarnations.byID[id] = &incarnation{name: e.GetName(), zone: e.GetZone(), updatedAt: l.clock}
	r := &wire.Result{Kind: &wire.Result_Enrolled{Enrolled: &wire.Enrolled{Incarnation: id}}}
	return l.recordAudit(c, "enroll", incarnationName(e.GetName(), id), "", r)
}

func incarnationName(name string, id uint64) string { return name + "#" + strconv.FormatUint(id, 10) }

func (l *Ledger) retire(c *wire.Command, q *wire.Retire) *wire.Result {
	id := q.GetIncarnation()
	inc, ok := l.incarnations.byID[id]
	if !ok {
		return l.recordAudit(c, "retire", incarnationName("", id), "", refuse(fault.Missing, "incarnation %d is not on record", id))
	}
	inc.lastSequence = max(inc.lastSequence, q.GetLast())
	if !inc.retired {
		inc.retired, inc.updatedAt = true, l.clock
		l.incarnations.retired = append(l.incarnations.retired, id)
	}
	r := &wire.Result{Kind: &wire.Result_Enrolled{Enrolled: &wire.Enrolled{Incarnation: id}}}
	return l.recordAudit(c, "retire", incarnationName(inc.name, id), "", r)
}

// isActive reports whether an incarnation is enrolled and not retired.
func (r *incarnations) isActive(id uint64) bool {
	inc, ok := r.byID[id]
	return ok && !inc.retired
}

// dropExpired removes the incarnations that were retired more than
// IncarnationRetention ago.
func (r *incarnations) dropExpired(now uint64) {
	for len(r.retired) > 0 && elapsed(r.byID[r.retired[0]].updatedAt, now) > IncarnationRetention {
		delete(r.byID, r.retired[0])
		r.retired = r.retired[1:]
	}
}

// ActiveIncarnations returns the incarnations that are not retired, by id,
// without their billed sequence numbers.
func (l *Ledger) ActiveIncarnations() []*wire.Run {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var list []*wire.Run
	for _, id := range slices.Sorted(maps.Keys(l.incarnations.byID)) {
		if inc := l.incarnations.byID[id]; !inc.retired {
			list = append(list, &wire.Run{Incarnation: id, Name: inc.name, Zone: inc.zone, Last: inc.lastSequence, Time: inc.updatedAt})
		}
	}
	return list
}

// IsActiveIncarnation reports whether an incarnation is enrolled and not retired.
func (l *Ledger) IsActiveIncarnation(incarnation uint64) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.incarnations.isActive(incarnation)
}
