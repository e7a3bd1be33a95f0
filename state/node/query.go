package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"citronledge.example/core/fault"
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
)

const (
	mostRows   = 1000 // in one answer
	queryTime  = 2 * time.Second
	longestAsk = time.Minute // of a wait
)

// queries serves one stream of queries, one after the other.
func (n *Node) queries(ctx context.Context, st *link.Stream) {
	for {
		var q wire.Query
		if err := st.Recv(&q); err != nil {
			return
		}
		a, err := n.query(ctx, &q)
		if err != nil {
			f := faultOf(err)
			if f == nil {
				f = wire.NewFault(fault.New(fault.Unavailable, "the state cannot be read; retry"))
			}
			a = &wire.Answer{Fault: f}
		}
		if err := st.Send(a); err != nil {
			return
		}
	}
}

// query answers on any state process, but for a wait, which only the leader
// can answer. It reads no older state than was acknowledged before.
func (n *Node) query(ctx context.Context, q *wire.Query) (*wire.Answer, error) {
	if s := q.GetStatus(); s != nil {
		if s.GetLead() && !n.cons.HoldsLease() {
			return nil, n.notLeader()
		}
		return &wire.Answer{Status: n.Status()}, nil
	}
	if j := q.GetJoin(); j != nil {
		return &wire.Answer{Status: n.Status()}, n.joins(j)
	}
	if w := q.GetWait(); w != nil {
		w.Timeout = min(w.GetTimeout(), uint32(longestAsk/time.Millisecond))
		waited, err := n.wait(ctx, w)
		return &wire.Answer{Waited: waited}, err
	}
	ctx, cancel := context.WithTimeout(ctx, queryTime)
	defer cancel()
	if err := n.cons.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	switch k := q.GetKind().(type) {
	case *wire.Query_Audit:
		return &wire.Answer{Audits: n.ledger.Audits(k.Audit.GetAfter(), rows(k.Audit.GetLimit()))}, nil
	case *wire.Query_Config:
		return n.config(), nil
	case *wire.Query_Bills:
		if k.Bills.GetOpen() {
			return &wire.Answer{Open: n.ledger.UnbilledSequences()}, nil
		}
		return &wire.Answer{Bills: n.ledger.Bills(k.Bills.GetCustomer(), k.Bills.GetAfter(), rows(k.Bills.GetLimit()))}, nil
	case *wire.Query_Operations:
		return &wire.Answer{Operations: n.ledger.Operations(k.Operations.GetId(), k.Operations.GetPhase())}, nil
	}
	return nil, fault.New(fault.Invalid, "the query has no known kind; upgrade the state processes first")
}

// config returns the whole configuration with the number of its last change.
func (n *Node) config() *wire.Answer {
	for {
		number := n.ledger.LastChangeNumber()
		a := &wire.Answer{Config: n.ledger.Delta(0), Number: number}
		if n.ledger.LastChangeNumber() == number {
			return a // no change came between the two reads
		}
	}
}

func rows(limit uint32) int {
	if limit == 0 || limit > mostRows {
		return mostRows
	}
	return int(limit)
}

// Status describes the cluster as this process sees it. Holders are known to
// the leader only.
func (n *Node) Status() *wire.Status {
	s := n.cons.Status()
	st := &wire.Status{
		Leader: s.Leader, Term: s.Term, Commit: s.CommitIndex, Revision: n.ledger.Revision(), Number: n.ledger.LastChangeNumber(),
	}
	for _, m := range s.Members {
		st.Peers = append(st.Peers, &wire.Peer{Name: m.Name, Addr: m.Addr, Voter: m.Voter, Match: m.MatchIndex, Alive: m.Live})
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.epoch == nil {
		return st
	}
	for _, id := range slices.Sorted(maps.Keys(n.epoch.holders)) {
		h := n.epoch.holders[id]
		left := max(time.Until(h.until), 0)
		st.Holders = append(st.Holders, &wire.Holder{
			Name: h.name, Zone: h.zone, Incarnation: id, Revision: h.revision, Left: uint32(left / time.Millisecond),
		})
	}
	return st
}
