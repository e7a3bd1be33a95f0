package raft

import (
	"context"
	"slices"
	"time"
	"unicode/utf8"

	"k8s.io/klog/v2"

	"citronledge.example/state/store"
)

// Propose appends a command to the log and returns its result after it is
// committed and applied on this node. NotLeader and DiskFull report that the
// command was not accepted, OutcomeUnknown that its outcome is unknown. A
// command has at most 16 MiB.
func (n *Node) Propose(ctx context.Context, command []byte) (result []byte, err error) {
	if len(command) > maxCommandBytes {
		return nil, Refused{"the command is larger than 16 MiB; split it"}
	}
	return n.propose(&proposal{ctx: ctx, kind: kindCommand, data: command, done: make(chan outcome, 1)})
}

func (n *Node) propose(p *proposal) ([]byte, error) {
	select {
	case <-n.done:
		return nil, Stopped{}
	case <-p.ctx.Done():
		return nil, p.ctx.Err()
	case n.proposals <- p:
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-p.ctx.Done():
		return nil, OutcomeUnknown{Cause: p.ctx.Err()}
	case <-n.done:
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	default:
		return nil, OutcomeUnknown{}
	}
}

// appendBatch appends the proposals of a batch with one write.
func (n *Node) appendBatch() {
	if len(n.batch) == 0 {
		return
	}
	var entries []store.Entry
	var accepted []*proposal
	for _, p := range n.batch {
		err := n.prepareProposal(p, entries)
		if err != nil {
			p.finish(nil, err)
			continue
		}
		entries = append(entries, store.Entry{Index: n.store.LastIndex() + 1 + uint64(len(entries)), Term: n.term, Kind: p.kind, Data: p.data})
		accepted = append(accepted, p)
	}
	clear(n.batch)
	n.batch = n.batch[:0]
	if len(entries) == 0 {
		return
	}
	if err := n.appendEntries(entries...); err != nil {
		refusal := error(Stopped{})
		if n.diskFull {
			refusal = DiskFull{Member: n.name}
		}
		for _, p := range accepted {
			p.finish(nil, refusal)
		}
		return
	}
	for i, p := range accepted {
		n.pending[entries[i].Index] = p
		if p.kind == kindRoster {
			n.updateReplicas()
		}
	}
}

// prepareProposal returns an error if a proposal cannot be appended after the
// given entries. It sets the data of a membership change.
func (n *Node) prepareProposal(p *proposal, before []store.Entry) error {
	switch {
	case n.err != nil:
		return Stopped{}
	case n.role != Leader:
		leader, _ := n.findMember(n.leader)
		return NotLeader{Leader: leader}
	case n.transfer != nil:
		return NotLeader{}
	case !n.hasQuorum(func(m Member) bool { return n.replicas[m.Name] == nil || !n.replicas[m.Name].diskFull }):
		return DiskFull{}
	case p.kind != kindRoster:
		return nil
	}
	pending := slices.ContainsFunc(before, func(e store.Entry) bool { return e.Kind == kindRoster })
	// With two changes in flight, or with one before an entry of the current
	// term is committed, two majorities could exist that have no common
	// member.
	last := n.rosters[len(n.rosters)-1]
	if pending || !last.settled && last.index > n.commitIndex || n.commitIndex < n.termStartIndex {
		return Refused{"another membership change is not committed yet; retry"}
	}
	roster, err := p.editMembers(slices.Clone(n.roster()))
	if err != nil {
		return err
	}
	isLive := func(m Member) bool {
		return slices.Contains(roster, m) && (m.Name == n.name || n.replicas[m.Name] != nil && n.isLive(n.replicas[m.Name]))
	}
	if !isMajority(roster, isLive) || !n.isQuorum(n.roster(), isLive) {
		return Refused{"no majority of the members would be live after this change; bring a member back first"}
	}
	p.data = formatRoster(roster)
	return nil
}

// changeMembership proposes a membership that edit derives from the one in
// effect.
func (n *Node) changeMembership(ctx context.Context, edit func([]Member) ([]Member, error)) error {
	_, err := n.propose(&proposal{ctx: ctx, kind: kindRoster, editMembers: edit, done: make(chan outcome, 1)})
	return err
}

// AddLearner adds a member that receives the log but has no vote. If DiskID is
// empty, the member is asked for it and must be running. AddLearner returns
// after the change is committed.
func (n *Node) AddLearner(ctx context.Context, m Member) error {
	if m.Name == "" || m.Addr == "" || !utf8.ValidString(m.Name+m.Addr+m.DiskID) {
		return Refused{"a member needs a name and an address in UTF-8"}
	}
	m.Voter = false
	if m.DiskID == "" {
		var err error
		if m.DiskID, err = n.fetchDiskID(ctx, m); err != nil {
			return err
		}
	}
	return n.changeMembership(ctx, func(list []Member) ([]Member, error) {
		for _, o := range list {
			if o == m {
				return list, nil // a retry after a lost answer
			}
			if o.Name == m.Name || o.DiskID == m.DiskID {
				return nil, Refused{"member " + o.Name + " exists with another disk, address or name; remove it first"}
			}
		}
		return append(list, m), nil
	})
}

// fetchDiskID asks a process for the identity of its disk.
func (n *Node) fetchDiskID(ctx context.Context, m Member) (string, error) {
	asked := n.stamp()
	for {
		var p *Packet
		err := n.runInLoop(ctx, func() {
			p = n.lastProbes[m.Name]
			n.transport.Send(m, n.newPacket(Kind_PROBE, m))
		})
		// Only an answer to one of these probes names the disk that the
		// process uses now.
		if err == nil && p != nil && p.Kind == Kind_PROBED && p.Stamp >= asked {
			return p.Source, nil
		}
		if err != nil {
			return "", err
		}
		select {
		case <-time.After(n.timings.HeartbeatInterval):
		case <-ctx.Done():
			return "", Refused{"member " + m.Name + " does not answer at " + m.Addr + "; start it first"}
		}
	}
}

// Promote makes a learner that has caught up a voter. It returns after the
// change is committed and settled: a loss of another voter is borne then.
func (n *Node) Promote(ctx context.Context, name string) error {
	// A learner that lags by at most this many entries catches up within the
	// next round trips.
	const maxLagEntries = 1000
	return n.changeMembership(ctx, func(list []Member) ([]Member, error) {
		i := slices.IndexFunc(list, func(m Member) bool { return m.Name == name })
		if i < 0 {
			return nil, Refused{"no member " + name + "; add it as learner first"}
		}
		if r := n.replicas[name]; r != nil && (!n.isLive(r) || r.matchIndex < n.termStartIndex || r.matchIndex+maxLagEntries < n.store.LastIndex()) {
			return nil, Refused{"member " + name + " has not caught up; wait and retry"}
		}
		list[i].Voter = true
		return list, nil
	})
}

// Remove removes a member other than the leader from the cluster. It returns
// after the change is committed and settled.
func (n *Node) Remove(ctx context.Context, name string) error {
	return n.changeMembership(ctx, func(list []Member) ([]Member, error) {
		if name == n.name {
			return nil, Refused{"the leader cannot remove itself; transfer leadership first"}
		}
		return slices.DeleteFunc(list, func(m Member) bool { return m.Name == name }), nil
	})
}

// leadershipTransfer is a leadership transfer in progress.
type leadershipTransfer struct {
	target       string
	deadline     time.Time
	campaignSent bool // the target was asked to campaign
	err          error
	done         chan struct{}
}

// TransferLeadership transfers leadership to the live voter with the most
// advanced log and returns when this node is no longer the leader. Proposals
// are refused in the meantime.
func (n *Node) TransferLeadership(ctx context.Context) error {
	var h *leadershipTransfer
	var refusal error
	err := n.runInLoop(ctx, func() { h, refusal = n.startTransfer() })
	if err != nil || refusal != nil {
		if err == nil {
			err = refusal
		}
		return err
	}
	select {
	case <-h.done:
		return h.err
	case <-ctx.Done():
		return ctx.Err()
	case <-n.done:
		return Stopped{}
	}
}

func (n *Node) startTransfer() (*leadershipTransfer, error) {
	if n.role != Leader {
		leader, _ := n.findMember(n.leader)
		return nil, NotLeader{Leader: leader}
	}
	if n.transfer != nil {
		return n.transfer, nil
	}
	var best *replica
	for _, r := range n.replicas {
		if r.member.Voter && n.isLive(r) && (best == nil || r.matchIndex > best.matchIndex) {
			best = r
		}
	}
	if best == nil {
		return nil, Refused{"no other voter is live; start one first, or stop this member anyway"}
	}
	n.transfer = &leadershipTransfer{target: best.member.Name, deadline: time.Now().Add(n.timings.ElectionTimeout), done: make(chan struct{})}
	return n.transfer, nil
}

// advanceTransfer takes the next step of a leadership transfer.
func (n *Node) advanceTransfer() {
	h := n.transfer
	if h == nil {
		return
	}
	r := n.replicas[h.target]
	switch {
	case !h.campaignSent && r != nil && r.matchIndex == n.store.LastIndex():
		// The lease ends here permanently: the target may campaign at any
		// later time.
		h.campaignSent = true
		n.sendAfterSync(r.member, n.newPacket(Kind_CAMPAIGN, r.member))
	case time.Now().Before(h.deadline):
	case h.campaignSent:
		n.becomeFollower(n.term, "")
	default:
		h.err = Refused{"member " + h.target + " did not catch up in time; retry"}
		close(h.done)
		n.transfer = nil
	}
}

// probeInitialMembers asks the initial members whether a cluster exists. If
// all of them are blank, the member whose name sorts first forms one. A blank
// majority is not enough, since a blank disk may have replaced one that voted.
func (n *Node) probeInitialMembers() {
	n.nextHeartbeat = time.Now().Add(4 * n.timings.HeartbeatInterval)
	blank, first := true, true
	for _, m := range n.initialMembers {
		if m.Name == n.name {
			continue
		}
		n.transport.Send(m, n.newPacket(Kind_PROBE, m))
		p := n.lastProbes[m.Name]
		blank = blank && p != nil && p.Cluster == ""
		first = first && n.name < m.Name
	}
	own := n.store.HardState().ClusterID
	if blank && first && !n.joinOnly && len(n.initialMembers) > 0 && (own == "" || own == n.store.DiskID()) {
		n.formCluster()
	}
}

// formCluster writes the first log entry. The identity of the disk, which
// forms at most one cluster, becomes that of the cluster.
func (n *Node) formCluster() {
	var roster []Member
	for _, m := range n.initialMembers {
		m.Voter, m.DiskID = true, n.store.DiskID()
		if m.Name != n.name {
			m.DiskID = n.lastProbes[m.Name].Source
		}
		roster = append(roster, m)
	}
	if !n.saveHardState(store.HardState{Term: 1, ClusterID: n.store.DiskID()}) {
		return
	}
	n.term = 1
	if n.appendEntries(store.Entry{Index: 1, Term: 1, Kind: kindRoster, Data: formatRoster(roster)}) != nil {
		return
	}
	klog.V(1).InfoS("Formed a new cluster", "member", n.name, "members", len(roster))
	n.startPreVote()
}

func (n *Node) onProbe(p *Packet) {
	n.lastProbes[p.From] = p
	a := n.newAnswer(Kind_PROBED, p)
	a.Ticket = p.Ticket
	n.reply(p, a)
}
