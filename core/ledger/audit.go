package ledger

import (
	"sort"

	"citronledge.example/core/wire"
)

// record adds a command and its outcome to the audit trail and returns the
// result. Bills and pins are too many to be recorded; they have their own
// lists.
func (l *Ledger) record(c *wire.Command, action, subject, note string, r *wire.Result) *wire.Result {
	outcome := "accepted"
	switch {
	case r.GetFault() != nil:
		outcome = r.GetFault().GetKind()
		if note == "" {
			note = r.GetFault().GetMessage()
		}
	case r.GetChanged().GetRepeat():
		outcome = "repeated"
	}
	l.audited++
	l.audits = append(l.audits, &wire.Audit{
		Index: l.audited, Time: l.time, Actor: c.GetActor(), Action: action,
		Subject: subject, Outcome: outcome, Revision: l.config.revision, Note: note,
	})
	if len(l.audits) > MaxAudits {
		l.audits[0] = nil // the array behind the slice would keep it
		l.audits = l.audits[1:]
	}
	return r
}

// Audits returns the records after an index, at most limit; 0 means all.
func (l *Ledger) Audits(after uint64, limit int) []*wire.Audit {
	l.mu.RLock()
	defer l.mu.RUnlock()
	i := sort.Search(len(l.audits), func(i int) bool { return l.audits[i].GetIndex() > after })
	list := l.audits[i:]
	if limit > 0 && len(list) > limit {
		list = list[:limit]
	}
	return append([]*wire.Audit(nil), list...)
}
