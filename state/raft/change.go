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
// committed and applied on this node. NotLeader and Full say that the command
// was not accepted. Lost says that the outcome is unknown. A command has at
// most 16 MiB.
func (n *Node) Propose(ctx context.Context, command []byte) (result []byte, err error) {
	if len(command) > maxCommand {
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

// take appends the proposals of a batch with one write.
func (n *Node) take() {
	if len(n.batch) == 0 {
		return
	}
	var entries []store.Entry
	var accepted []*proposal
	for _, p := range n.batch {
		err := n.accept(p, entries)
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
	if err := n.append(entries...); err != nil {
		refusal := error(Stopped{})
		if n.full {
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
			n.enrol()
		}
	}
}

// accept tells why a proposal cannot be appended after the given entries.
func (n *Node) accept(p *proposal, before []store.Entry) error {
	switch {
	case n.err != nil:
		return Stopped{}
	case n.role != Leader:
		leader, _ := n.find(n.leader)
		return NotLeader{Leader: leader}
	case n.handover != nil:
		return NotLeader{}
	case !n.majority(func(m Member) bool { return m.Name == n.name || !n.replicas[m.Name].full }):
		return DiskFull{}
	case p.kind != kindRoster:
		return nil
	}
	pending := slices.ContainsFunc(before, func(e store.Entry) bool { return e.Kind == kindRoster })
	// Two changes at once, or one before the own term has a commit, could
	// leave two majorities without a common member.
	if pending || n.rosters[len(n.rosters)-1].index > n.commit || n.commit < n.started {
		return Refused{"another membership change is not committed yet; retry"}
	}
	roster, err := p.change(slices.Clone(n.roster()))
	if err != nil {
		return err
	}
	if !majorityOf(roster, func(m Member) bool {
		return m.Name == n.name || n.replicas[m.Name] != nil && n.live(n.replicas[m.Name])
	}) {
		return Refused{"no majority of the members would be live after this change; bring a member back first"}
	}
	p.data = formatRoster(roster)
	return nil
}

// change proposes a membership that edit derives from the one in effect.
func (n *Node) change(ctx context.Context, edit func([]Member) ([]Member, error)) error {
	_, err := n.propose(&proposal{ctx: ctx, kind: kindRoster, change: edit, done: make(chan outcome, 1)})
	return err
}

// AddLearner adds a member that receives the log without a vote. When
// Member.Disk is empty, the member is asked for its identity, so it must be
// running. It returns after the change is committed.
func (n *Node) AddLearner(ctx context.Context, m Member) error {
	if m.Name == "" || m.Addr == "" || !utf8.ValidString(m.Name+m.Addr+m.DiskID) {
		return Refused{"a member needs a name and an address in UTF-8"}
	}
	m.Voter = false
	if m.DiskID == "" {
		var err error
		if m.DiskID, err = n.identify(ctx, m); err != nil {
			return err
		}
	}
	return n.change(ctx, func(list []Member) ([]Member, error) {
		for _, o := range list {
			if o == m {
				return list, nil // repeated after a lost answer
			}
			if o.Name == m.Name || o.DiskID == m.DiskID {
				return nil, Refused{"member " + o.Name + " exists with another disk, address or name; remove it first"}
			}
		}
		return append(list, m), nil
	})
}

// identify asks a process for the identity of its disk.
func (n *Node) identify(ctx context.Context, m Member) (string, error) {
	asked := n.stamp()
	for {
		var p *Packet
		err := n.do(ctx, func() {
			p = n.seen[m.Name]
			n.transport.Send(m, n.packet(Kind_PROBE, m))
		})
		// Only an answer to one of these questions tells of the disk that
		// the process uses now.
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
// change is committed.
func (n *Node) Promote(ctx context.Context, name string) error {
	// A learner this close catches up within the next round trips.
	const near = 1000
	return n.change(ctx, func(list []Member) ([]Member, error) {
		i := slices.IndexFunc(list, func(m Member) bool { return m.Name == name })
		if i < 0 {
			return nil, Refused{"no member " + name + "; add it as learner first"}
		}
		if r := n.replicas[name]; r != nil && (!n.live(r) || r.match < n.started || r.match+near < n.store.LastIndex()) {
			return nil, Refused{"member " + name + " has not caught up; wait and retry"}
		}
		list[i].Voter = true
		return list, nil
	})
}

// Remove takes a member other than the leader out of the cluster. It returns
// after the change is committed.
func (n *Node) Remove(ctx context.Context, name string) error {
	return n.change(ctx, func(list []Member) ([]Member, error) {
		if name == n.name {
			return nil, Refused{"the leader cannot remove itself; transfer leadership first"}
		}
		return slices.DeleteFunc(list, func(m Member) bool { return m.Name == name }), nil
	})
}

// handover is a leadership transfer in progress.
type handover struct {
	target string
	until  time.Time
	sent   bool // the target was asked to campaign
	err    error
	done   chan struct{}
}

// TransferLeadership hands leadership to the most advanced live voter and returns when
// this node is not leader any more. Proposals are refused meanwhile.
func (n *Node) TransferLeadership(ctx context.Context) error {
	var h *handover
	var refusal error
	err := n.do(ctx, func() { h, refusal = n.transfer() })
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

func (n *Node) transfer() (*handover, error) {
	if n.role != Leader {
		leader, _ := n.find(n.leader)
		return nil, NotLeader{Leader: leader}
	}
	if n.handover != nil {
		return n.handover, nil
	}
	var best *replica
	for _, r := range n.replicas {
		if r.member.Voter && n.live(r) && (best == nil || r.match > best.match) {
			best = r
		}
	}
	if best == nil {
		return nil, Refused{"no other voter is live; start one first, or stop this member anyway"}
	}
	n.handover = &handover{target: best.member.Name, until: time.Now().Add(n.timings.ElectionTimeout), done: make(chan struct{})}
	return n.handover, nil
}

// hand moves a leadership transfer on.
func (n *Node) hand() {
	h := n.handover
	if h == nil {
		return
	}
	r := n.replicas[h.target]
	switch {
	case !h.sent && r != nil && r.match == n.store.LastIndex():
		// The lease ends here, for good: the target may campaign at any
		// later time.
		h.sent = true
		n.later(r.member, n.packet(Kind_CAMPAIGN, r.member))
	case time.Now().Before(h.until):
	case h.sent:
		n.follow(n.term, "")
	default:
		h.err = Refused{"member " + h.target + " did not catch up in time; retry"}
		close(h.done)
		n.handover = nil
	}
}

// probe asks the initial members whether a cluster exists. Only the member
// with the first name forms one, when all of them are blank: a majority is
// not enough, since a blank disk may have replaced one that voted.
func (n *Node) probe() {
	n.beat = time.Now().Add(4 * n.timings.HeartbeatInterval)
	blank, first := true, true
	for _, m := range n.initial {
		if m.Name == n.name {
			continue
		}
		n.transport.Send(m, n.packet(Kind_PROBE, m))
		p := n.seen[m.Name]
		blank = blank && p != nil && p.Cluster == ""
		first = first && n.name < m.Name
	}
	own := n.store.HardState().ClusterID
	if blank && first && !n.join && len(n.initial) > 0 && (own == "" || own == n.store.DiskID()) {
		n.form()
	}
}

// form writes the first entry. The identity of the disk, which forms at most
// one cluster, becomes that of the cluster.
func (n *Node) form() {
	var roster []Member
	for _, m := range n.initial {
		m.Voter, m.DiskID = true, n.store.DiskID()
		if m.Name != n.name {
			m.DiskID = n.seen[m.Name].Source
		}
		roster = append(roster, m)
	}
	if !n.saveMeta(store.HardState{Term: 1, ClusterID: n.store.DiskID()}) {
		return
	}
	n.term = 1
	if n.append(store.Entry{Index: 1, Term: 1, Kind: kindRoster, Data: formatRoster(roster)}) != nil {
		return
	}
	klog.V(1).InfoS("formed a cluster", "member", n.name, "members", len(roster))
	n.canvass()
}

func (n *Node) onProbe(p *Packet) {
	n.seen[p.From] = p
	n.reply(p, n.answer(Kind_PROBED, p))
}
