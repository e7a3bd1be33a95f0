package ledger

import (
	"maps"
	"slices"
	"strconv"

	"citronledge.example/core/fault"
	"citronledge.example/core/wire"
)

// runs holds the incarnations of gates with their settled bills.
type runs struct {
	last uint64 // the last incarnation given
	list map[uint64]*run
	// retired lists retired incarnations by time of retirement.
	retired []uint64
}

type run struct {
	name, zone string
	retired    bool
	last       uint64 // highest sequence number known to be given out
	time       uint64
	billed     spans
}

func newRuns() runs { return runs{list: map[uint64]*run{}} }

func (l *Ledger) enroll(c *wire.Command, e *wire.Enroll) *wire.Result {
	if e.GetName() == "" {
		return l.record(c, "enroll", "", "", refuse(fault.Invalid, "the enrolment has no name; set the name of the gate"))
	}
	l.runs.last++
	id := l.runs.last
	l.runs.list[id] = &run{name: e.GetName(), zone: e.GetZone(), time: l.time}
	r := &wire.Result{Kind: &wire.Result_Enrolled{Enrolled: &wire.Enrolled{Incarnation: id}}}
	return l.record(c, "enroll", subject(e.GetName(), id), "", r)
}

func subject(name string, id uint64) string { return name + "#" + strconv.FormatUint(id, 10) }

func (l *Ledger) retire(c *wire.Command, q *wire.Retire) *wire.Result {
	id := q.GetIncarnation()
	ru, ok := l.runs.list[id]
	if !ok {
		return l.record(c, "retire", subject("", id), "", refuse(fault.Missing, "incarnation %d is not on record", id))
	}
	ru.last = max(ru.last, q.GetLast())
	if !ru.retired {
		ru.retired, ru.time = true, l.time
		l.runs.retired = append(l.runs.retired, id)
	}
	r := &wire.Result{Kind: &wire.Result_Enrolled{Enrolled: &wire.Enrolled{Incarnation: id}}}
	return l.record(c, "retire", subject(ru.name, id), "", r)
}

// alive tells whether an incarnation was given and is not retired.
func (r *runs) alive(id uint64) bool {
	ru, ok := r.list[id]
	return ok && !ru.retired
}

// expire drops incarnations that were retired long ago.
func (r *runs) expire(now uint64) {
	for len(r.retired) > 0 && span(r.list[r.retired[0]].time, now) > IncarnationRetention {
		delete(r.list, r.retired[0])
		r.retired = r.retired[1:]
	}
}

// ActiveIncarnations returns the incarnations that are not retired, by number, without
// their bills.
func (l *Ledger) ActiveIncarnations() []*wire.Run {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var list []*wire.Run
	for _, id := range slices.Sorted(maps.Keys(l.runs.list)) {
		if ru := l.runs.list[id]; !ru.retired {
			list = append(list, &wire.Run{Incarnation: id, Name: ru.name, Zone: ru.zone, Last: ru.last, Time: ru.time})
		}
	}
	return list
}

// IsActiveIncarnation tells whether an incarnation was given and is not retired.
func (l *Ledger) IsActiveIncarnation(incarnation uint64) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.runs.alive(incarnation)
}
