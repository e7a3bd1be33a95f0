package share

import (
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// Receive processes a datagram and returns the answers to it.
func (n *Node) Receive(from netip.AddrPort, d *wire.Datagram, now time.Time) []Packet {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch x := d.GetKind().(type) {
	case *wire.Datagram_Loads:
		return n.receiveLoads(from, x.Loads, now)
	case *wire.Datagram_Request:
		return n.answerRequest(from, x.Request, now)
	case *wire.Datagram_Part:
		n.receivePart(x.Part, now)
	}
	return nil
}

func (n *Node) receiveLoads(from netip.AddrPort, l *wire.Loads, now time.Time) []Packet {
	loads, err := getLoads(l)
	if err != nil {
		klog.ErrorS(err, "Cannot decode the loads of a gate", "gate", l.GetName())
		return nil
	}
	c := n.heard[from]
	if c.run == l.GetRun() && l.GetSeq() <= c.seq {
		return nil // a later datagram arrived first
	}
	c.run, c.seq = l.GetRun(), l.GetSeq()
	if l.GetScope() != wire.Loads_OWN {
		c.relayedAt = now
		c.maxSilence = silentIntervals * max(relayHeartbeat, time.Duration(l.GetNext())*time.Millisecond)
	}
	p, known := n.topo.places[from]
	if known {
		n.heard[from] = c
		n.receiveReport(from, p, l, loads, now)
	}
	n.receiveNews(l, now)
	n.cfg.Loads.MergeLimits(getLimits(l.GetLimits()))
	n.receiveColds(l.GetColds())
	return n.noteReading(from, l.GetList(), now)
}

// receiveReport stores the loads of another gate if they are meant for the part
// that this gate has.
func (n *Node) receiveReport(from netip.AddrPort, p place, l *wire.Loads, loads []Load, now time.Time) {
	r := Report{Run: l.GetRun(), Seq: l.GetSeq(), Zone: ident.Zone(l.GetZone()), Loads: loads}
	sameGroup := p.group == n.topo.self.group
	n.updateRelay(now)
	switch {
	case l.GetScope() == wire.Loads_OWN && sameGroup:
		r.Source = from.String()
		n.update(r, now)
	case l.GetScope() == wire.Loads_GROUP && !sameGroup:
		r.Source = n.topo.groups[p.group].name
		n.speakers[r.Source] = from
		if n.isRelay() && !n.topo.direct() {
			n.update(r, now)
		}
	case l.GetScope() == wire.Loads_REST && sameGroup && p.rank == n.relay:
		r.Source = "rest"
		n.cfg.Loads.SetPathLosses(getLosses(l.GetLosses()))
		n.cfg.Loads.MergeLoads(r, loadTTL)
		return
	default:
		return // from before a change of the groups, or of the relay
	}
	n.changed = n.changed || len(loads) > 0 && !n.topo.direct()
	if n.isRelay() {
		n.cfg.Loads.MergeLoads(r, loadTTL)
	}
}

// update stores a report, to be added up and passed on.
func (n *Node) update(r Report, now time.Time) {
	s := n.sources[r.Source]
	if s == nil {
		s = &source{}
		n.sources[r.Source] = s
	}
	s.update(r.Run, r.Loads, now.Add(loadTTL))
}
