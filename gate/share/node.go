package share

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"citronledge.example/core/policy"
	"citronledge.example/core/wire"
)

const (
	// minDirectInterval is the interval between datagrams to each other gate
	// while there are few.
	minDirectInterval = 40 * time.Millisecond
	// maxDirectRate limits the datagrams that a gate receives per second while
	// each gate sends to all others.
	maxDirectRate = 160.0
	// groupInterval is the least interval between the datagrams of a gate in a
	// group with a relay.
	groupInterval = 150 * time.Millisecond
	// MaxSendInterval is the longest interval between datagrams while nothing
	// changes, and relayHeartbeat that of a relay, whose silence has to be
	// noticed.
	MaxSendInterval = time.Second
	relayHeartbeat  = 400 * time.Millisecond
	// silentIntervals is how many of its intervals a relay may be silent before
	// the next gate of its group takes over.
	silentIntervals = 3
	// loadTTL is how long the loads of a silent source count.
	loadTTL = 3 * MaxSendInterval
	// burstBytes limits what is sent at once. More would overflow the queue of a
	// slow link, which then always loses the last datagrams.
	burstBytes = 8 << 10
	bytesPerKB = 1000
	// linkShare is the share of a gate's link that its own datagrams may take;
	// the rest is for callers, backend servers and leases.
	linkShare = 0.2
	// standbys is how many gates after the relay get the loads of the group too,
	// so that they can take over.
	standbys = 1
)

// LoadTable holds the loads of backend servers: those that this gate causes and
// those that others report.
type LoadTable interface {
	// LocalLoads returns this gate's loads, and whether they have changed since
	// the last call.
	LocalLoads() ([]Load, bool)
	// MergeLoads stores the report of a source, which is valid until its next
	// one arrives or until ttl has passed.
	MergeLoads(r Report, ttl time.Duration)
	// ForgetLoads removes the reports of all sources.
	ForgetLoads()
	// SetExchange says which gates there are, and after how long the others know
	// of this gate's loads.
	SetExchange(gates Gates, delay time.Duration)
	// Limits returns what is known of the limits of backend servers, and
	// MergeLimits stores what another gate knows.
	Limits() []Limit
	MergeLimits([]Limit)
	// PathLosses returns what was seen of the paths to other zones, and
	// SetPathLosses replaces it by what the relay has seen.
	PathLosses() []*wire.PathLoss
	SetPathLosses([]*wire.PathLoss)
}

// Packet is a datagram for other gates.
type Packet struct {
	To      []netip.AddrPort
	Message *wire.Datagram
}

// Node decides which datagrams this gate sends to which others, and processes
// those that it receives. It does no I/O and reads no clock.
//
// While there are few gates, each sends its loads to all others. Otherwise they
// form groups: each gate sends its loads to the relay of its group, which sends
// the sum of the group to the relays of the other groups, and to each gate of
// its own group the sum of all others. The cost of a gate then grows with the
// size of a group and the number of groups rather than with that of all gates.
type Node struct {
	cfg  Config
	run  uint64 // drawn at the start, tells restarts apart
	self Member

	mu          sync.Mutex // guards the fields below
	topo        *topology
	exchangeSet bool      // the table of loads knows the gates
	relay       int       // rank of the member of the own group that is taken for its relay
	relaySince  time.Time // when it was last changed
	heard       map[netip.AddrPort]contact
	speakers    map[string]netip.AddrPort // the relay that last reported for each other group
	sources     map[string]*source
	own         source
	seq         uint64
	sentAt      time.Time
	changed     bool // something has to be passed on
	// queue holds the datagrams of a relay's round that are not sent yet; they are
	// spread over its interval. The round began at roundAt.
	queue    []Packet
	roundAt  time.Time
	rounds   int           // so far
	interval time.Duration // that the last round took
	// sent are the news of this gate in its last datagram; each is sent twice, as
	// one datagram may be lost. forGroups and forMembers are those that a relay has
	// to pass on.
	sent, forGroups, forMembers news
	blocks                      []policy.Block // that this gate knows
	limits                      []*wire.ServerLimit
	colds                       []*wire.ServerCold
	requestedAt                 time.Time // of the list of backend servers
}

// contact is what is known of another gate's datagrams.
type contact struct {
	run, seq   uint64
	relayedAt  time.Time     // when it last sent a datagram as a relay
	maxSilence time.Duration // after that
}

// Config describes a gate.
type Config struct {
	Name string
	Self Member
	// ReadSlack is how much later than due a gate without news may read the list
	// of backend servers.
	ReadSlack time.Duration
	Loads     LoadTable
	// Sessions, Parts, Lists and Colds may be nil.
	Sessions SessionTable
	Parts    PartTable
	Lists    ServerList
	Colds    ColdTable
}

// NewNode returns the node of a gate; run is a random number.
func NewNode(cfg Config, run uint64) *Node {
	return &Node{
		cfg: cfg, run: run, self: cfg.Self,
		topo: newTopology(cfg.Self, nil), heard: map[netip.AddrPort]contact{}, speakers: map[string]netip.AddrPort{}, sources: map[string]*source{},
	}
}

// SetMembers sets the other gates. An empty list does not replace an earlier
// one.
func (n *Node) SetMembers(others []Member, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(others) == 0 && n.topo.size > 1 {
		return // a new leader does not know the gates yet
	}
	old, relay := n.topo, n.topo.member(n.relay)
	n.topo = newTopology(n.self, others)
	if n.exchangeSet && slices.EqualFunc(old.groups, n.topo.groups, func(a, b gateGroup) bool { return a.name == b.name && slices.Equal(a.members, b.members) }) {
		return
	}
	n.relay, n.relaySince = 0, now
	// The relay stays the same gate, at whatever rank it is now.
	if p, ok := n.topo.places[relay]; ok && p.group == n.topo.self.group && old.ownGroup().name == n.topo.ownGroup().name {
		n.relay = p.rank
	}
	if old.direct() != n.topo.direct() {
		n.resetSources()
	}
	delay := groupInterval + relayHeartbeat
	if n.topo.direct() {
		delay = n.directInterval()
	}
	n.cfg.Loads.SetExchange(n.topo.gates(), delay)
	n.exchangeSet = true
	n.forgetGone()
	klog.InfoS("Peer gates changed", "gates", n.topo.size, "groups", len(n.topo.groups), "group", n.topo.ownGroup().name, "rank", n.topo.self.rank)
}

// forgetGone removes what is known of gates that are gone.
func (n *Node) forgetGone() {
	for addr := range n.heard {
		if _, ok := n.topo.places[addr]; !ok {
			delete(n.heard, addr)
		}
	}
	for name, addr := range n.speakers {
		if _, ok := n.topo.places[addr]; !ok {
			delete(n.speakers, name)
		}
	}
	for name := range n.sources {
		isGroup := slices.ContainsFunc(n.topo.groups, func(g gateGroup) bool { return g.name == name })
		if !isGroup && !n.isOwnMember(name) {
			delete(n.sources, name)
		}
	}
}

// resetSources forgets the loads of others, when their reports will come from
// other sources.
func (n *Node) resetSources() {
	for name, s := range n.sources {
		if _, err := netip.ParseAddrPort(name); err != nil || n.topo.direct() {
			delete(n.sources, name)
			continue
		}
		s.expires = time.Time{}
	}
	n.cfg.Loads.ForgetLoads()
}

// isRelay reports whether this gate is the relay of its group.
func (n *Node) isRelay() bool { return n.relay == n.topo.self.rank }

// updateRelay chooses the relay of the own group: the first gate in its order
// that is not silent.
func (n *Node) updateRelay(now time.Time) {
	old := n.relay
	for rank, m := range n.topo.ownGroup().members {
		if rank == n.relay {
			break
		}
		if c := n.heard[m.Addr]; !c.relayedAt.IsZero() && now.Sub(c.relayedAt) <= c.maxSilence {
			n.relay = rank
			break
		}
	}
	if !n.isRelay() && n.relay == old {
		c := n.heard[n.topo.member(n.relay)]
		since, limit := n.relaySince, silentIntervals*relayHeartbeat
		if c.relayedAt.After(since) {
			since, limit = c.relayedAt, c.maxSilence
		}
		if now.Sub(since) > limit {
			n.relay = (n.relay + 1) % len(n.topo.ownGroup().members)
		}
	}
	if n.relay == old {
		return
	}
	n.relaySince = now
	klog.InfoS("Relay of the group of gates changed", "group", n.topo.ownGroup().name, "relay", n.topo.member(n.relay), "before", n.topo.member(old), "self", n.isRelay())
	if n.isRelay() || old == n.topo.self.rank {
		n.forGroups, n.forMembers, n.queue = news{}, news{}, nil
		n.resetSources()
	}
}

// Tick returns the datagrams that are due, and the time until the next call.
func (n *Node) Tick(now time.Time) (packets []Packet, next time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.updateRelay(now)
	if n.topo.size == 1 {
		return nil, groupInterval
	}
	if len(n.queue) > 0 {
		return n.takeBurst(now)
	}
	loads, changed := n.cfg.Loads.LocalLoads()
	n.limits, n.colds = putLimits(n.cfg.Loads.Limits()), n.ownColds()
	n.updateOwn(loads)
	unsent := n.sent
	n.sent = n.takeNews()
	unsent.add(n.sent)
	if n.isRelay() {
		return n.tickRelay(now, changed, unsent)
	}
	if !changed && unsent.isEmpty() && now.Sub(n.sentAt) < MaxSendInterval {
		return nil, groupInterval
	}
	l := n.newLoads(wire.Loads_OWN, now, MaxSendInterval)
	putLoads(l, loads)
	putNews(l, unsent, now)
	return []Packet{n.send(l, now, n.relays())}, groupInterval
}

// updateOwn stores this gate's own loads as a source.
func (n *Node) updateOwn(loads []Load) {
	n.own.loads = loads
	if n.own.grown == nil {
		n.own.grown = map[uint32]counts{}
	}
	for _, l := range loads {
		n.own.grown[l.Server] = counts{l.Good, l.Bad}
	}
}

// relays returns the relay of the own group and those that would take over.
func (n *Node) relays() []netip.AddrPort {
	var to []netip.AddrPort
	for i := range 1 + standbys {
		if addr := n.topo.member(n.relay + i); addr != n.self.Addr && !slices.Contains(to, addr) {
			to = append(to, addr)
		}
	}
	return to
}

// tickRelay begins a round of datagrams of a relay: to the other groups, and to
// each other gate of its own.
func (n *Node) tickRelay(now time.Time, changed bool, unsent news) (packets []Packet, next time.Duration) {
	interval, heartbeat := groupInterval, max(relayHeartbeat, n.interval)
	if n.topo.direct() {
		interval = n.directInterval()
		heartbeat = MaxSendInterval
	}
	n.forGroups.add(unsent)
	n.forMembers.add(unsent)
	if !changed && !n.changed && n.forMembers.isEmpty() && now.Sub(n.sentAt) < heartbeat {
		return nil, interval
	}
	n.changed = false
	n.own.expires = now.Add(loadTTL)
	groupSum, all := n.sums(now)
	l := n.newLoads(wire.Loads_GROUP, now, heartbeat)
	putLoads(l, groupSum.without(nil, now))
	putNews(l, n.forGroups, now)
	packets = append(packets, n.send(l, now, n.otherRelays(now)))
	if n.topo.direct() {
		n.forGroups, n.forMembers = news{}, news{}
		return packets, interval
	}
	losses, forMembers := n.cfg.Loads.PathLosses(), n.forMembers
	members := n.topo.ownGroup().members
	for i := range members {
		// Another member is the first one in each round, since the last ones get
		// what is known the latest.
		m := members[(i+n.rounds)%len(members)]
		if m.Addr == n.self.Addr {
			continue
		}
		rest := n.newLoads(wire.Loads_REST, now, heartbeat)
		putLoads(rest, all.without(n.sources[m.Addr.String()], now))
		putNews(rest, forMembers, now)
		rest.Losses = losses
		packets = append(packets, n.send(rest, now, []netip.AddrPort{m.Addr}))
	}
	n.forGroups, n.forMembers = news{}, news{}
	n.rounds++
	n.queue, n.roundAt = packets, now
	return n.takeBurst(now)
}

// directInterval returns the interval between datagrams while each gate sends to
// all others.
func (n *Node) directInterval() time.Duration {
	return max(minDirectInterval, time.Duration(float64(n.topo.size-1)/maxDirectRate*float64(time.Second)))
}

// takeBurst returns the next datagrams of a relay's round, and the time until
// it may send more within its share of the link.
func (n *Node) takeBurst(now time.Time) (burst []Packet, next time.Duration) {
	size := 0
	for len(n.queue) > 0 && size < burstBytes {
		p := &n.queue[0]
		if len(p.To) == 0 {
			n.queue = n.queue[1:]
			continue
		}
		burst = append(burst, Packet{p.To[:1], p.Message})
		p.To = p.To[1:]
		size += proto.Size(p.Message)
	}
	if n.self.LinkRate > 0 {
		next = time.Duration(float64(size) / (linkShare * bytesPerKB * float64(n.self.LinkRate)) * float64(time.Second))
	}
	if len(n.queue) == 0 {
		next = max(next, n.roundAt.Add(groupInterval).Sub(now))
		n.interval = now.Add(next).Sub(n.roundAt)
	}
	return burst, next
}

// sums returns the loads of the own group and those of all gates.
func (n *Node) sums(now time.Time) (groupSum, all sum) {
	groupSum, all = sum{}, sum{}
	groupSum.add(&n.own, now)
	all.add(&n.own, now)
	for name, s := range n.sources {
		all.add(s, now)
		if n.isOwnMember(name) {
			groupSum.add(s, now)
		}
	}
	groupSum.addOutcomes(n.own.grown)
	all.addOutcomes(n.own.grown)
	for name, s := range n.sources {
		all.addOutcomes(s.grown)
		if n.isOwnMember(name) {
			groupSum.addOutcomes(s.grown)
		}
	}
	return groupSum, all
}

// isOwnMember reports whether a source is a gate of the own group.
func (n *Node) isOwnMember(source string) bool {
	addr, err := netip.ParseAddrPort(source)
	p, ok := n.topo.places[addr]
	return err == nil && ok && p.group == n.topo.self.group
}

// otherRelays returns the relay of each other group: the gate that last
// reported for it. If none has, they are two gates of the group, others in each
// round: when several groups have lost their relays, the new ones find each
// other.
func (n *Node) otherRelays(now time.Time) []netip.AddrPort {
	var to []netip.AddrPort
	for i, g := range n.topo.groups {
		if i == n.topo.self.group {
			continue
		}
		if addr, ok := n.speakers[g.name]; ok {
			if c := n.heard[addr]; now.Sub(c.relayedAt) <= c.maxSilence {
				to = append(to, addr)
				continue
			}
		}
		for k := range min(1+standbys, len(g.members)) {
			to = append(to, g.members[(n.rounds*(1+standbys)+k)%len(g.members)].Addr)
		}
	}
	return to
}

// newLoads returns a message without loads.
func (n *Node) newLoads(scope wire.Loads_Scope, now time.Time, next time.Duration) *wire.Loads {
	return &wire.Loads{
		Name: n.cfg.Name, Run: n.run, Zone: string(n.self.Zone), Scope: scope, Next: uint32(next / time.Millisecond), List: n.ownReading(now), Blocks: putBlocks(n.blocks),
		Limits: n.limits, Colds: n.colds,
	}
}

// send completes a message. All messages of one tick have the same number.
func (n *Node) send(l *wire.Loads, now time.Time, to []netip.AddrPort) Packet {
	if n.sentAt != now {
		n.sentAt = now
		n.seq++
	}
	l.Seq = n.seq
	return Packet{to, &wire.Datagram{Kind: &wire.Datagram_Loads{Loads: l}}}
}
