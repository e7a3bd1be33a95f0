package ledger

import (
	"sort"

	"citronledge.example/core/wire"
)

// recordAudit appends a command and its outcome to the audit trail and returns
// r. Bills and pins are too numerous for the trail; they have their own lists.
func (l *Ledger) recordAudit(c *wire.Command, action, subject, note string, r *wire.Result) *wire.Result {
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
	l.lastAudit++
	l.audits = append(l.audits, &wire.Audit{
		Index: l.lastAudit, Time: l.clock, Actor: c.GetActor(), Action: action,
		Subject: subject, Outcome: outcome, Revision: l.config.revision, Note: note,
	})
	if len(l.audits) > MaxAudits {
		l.audits[0] = nil // the backing array would keep it alive
		l.audits = l.audits[1:]
	}
	return r
}

// Audits returns the audit records with an index above after, at most limit of
// them; a limit of 0 means all.
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
