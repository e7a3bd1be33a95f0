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
	maxRows      = 1000 // in one answer
	queryTimeout = 2 * time.Second
	maxWait      = time.Minute // limit for a wait query
)

// serveQueries serves the queries of one stream, one after the other.
func (n *Node) serveQueries(ctx context.Context, st *link.Stream) {
	for {
		var q wire.Query
		if err := st.Recv(&q); err != nil {
			return
		}
		a, err := n.handleQuery(ctx, &q)
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

// handleQuery answers a query. Only the leader answers wait queries, requests
// to join or leave and status queries for the leader; any state process answers the
// others. Answers from the ledger are never older than an acknowledged command.
func (n *Node) handleQuery(ctx context.Context, q *wire.Query) (*wire.Answer, error) {
	if s := q.GetStatus(); s != nil {
		if s.GetLead() && !n.consensus.HoldsLease() {
			return nil, n.notLeaderError()
		}
		return &wire.Answer{Status: n.Status()}, nil
	}
	if j := q.GetJoin(); j != nil {
		return &wire.Answer{Status: n.Status()}, n.recordJoinRequest(j)
	}
	if l := q.GetLeave(); l != nil {
		return &wire.Answer{}, n.releaseVoter(ctx, l.GetName())
	}
	if w := q.GetWait(); w != nil {
		w.Timeout = min(w.GetTimeout(), uint32(maxWait/time.Millisecond))
		waited, err := n.waitInForce(ctx, w)
		return &wire.Answer{Waited: waited}, err
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	if err := n.consensus.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	switch k := q.GetKind().(type) {
	case *wire.Query_Audit:
		return &wire.Answer{Audits: n.ledger.Audits(k.Audit.GetAfter(), rowLimit(k.Audit.GetLimit()))}, nil
	case *wire.Query_Config:
		return n.readConfig(), nil
	case *wire.Query_Bills:
		if k.Bills.GetOpen() {
			return &wire.Answer{Open: n.ledger.UnbilledSequences()}, nil
		}
		return &wire.Answer{Bills: n.ledger.Bills(k.Bills.GetCustomer(), k.Bills.GetAfter(), rowLimit(k.Bills.GetLimit()))}, nil
	case *wire.Query_Operations:
		return &wire.Answer{Operations: n.ledger.Operations(k.Operations.GetId(), k.Operations.GetPhase())}, nil
	}
	return nil, fault.New(fault.Invalid, "the query has no known kind; upgrade the state processes first")
}

// readConfig returns the whole configuration with the number of its last
// change.
func (n *Node) readConfig() *wire.Answer {
	for {
		number := n.ledger.LastChangeNumber()
		a := &wire.Answer{Config: n.ledger.Delta(0), Number: number}
		if n.ledger.LastChangeNumber() == number {
			return a // no change was applied between the two reads
		}
	}
}

// rowLimit returns the number of rows to return when a query asks for limit
// rows; 0 means the maximum.
func rowLimit(limit uint32) int {
	if limit == 0 || limit > maxRows {
		return maxRows
	}
	return int(limit)
}

// Status describes the cluster as known to this process. Only the leader knows
// the holders of leases.
func (n *Node) Status() *wire.Status {
	s := n.consensus.Status()
	st := &wire.Status{
		Leader: s.Leader, Term: s.Term, Commit: s.CommitIndex, Revision: n.ledger.Revision(), Number: n.ledger.LastChangeNumber(),
	}
	for _, m := range s.Members {
		st.Peers = append(st.Peers, &wire.Peer{Name: m.Name, Addr: m.Addr, Voter: m.Voter && m.Settled, Match: m.MatchIndex, Alive: m.Live})
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.epoch == nil {
		return st
	}
	for _, id := range slices.Sorted(maps.Keys(n.epoch.holders)) {
		h := n.epoch.holders[id]
		left := max(time.Until(h.expires), 0)
		st.Holders = append(st.Holders, &wire.Holder{
			Name: h.name, Zone: h.zone, Incarnation: id, Revision: h.acked, Left: uint32(left / time.Millisecond),
		})
	}
	return st
}
