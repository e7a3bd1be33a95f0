package fleet

import (
	"math"
	"time"

	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// peerLoad is what another gate has reported about its attempts at a server.
type peerLoad struct {
	at                   time.Time
	expires              time.Time
	running, pendingWork float64
	good, bad            uint32
}

// reportPeriod is how long a server is reported after its load last changed.
const reportPeriod = 3 * time.Second

// LocalLoads implements share.LoadTable.
func (f *Fleet) LocalLoads() ([]*wire.Share, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.loadsChanged
	f.loadsChanged = false
	if !changed && !f.loadsReported {
		return nil, false
	}
	var list []*wire.Share
	now := time.Now()
	f.loadsReported = false
	for _, s := range f.servers {
		if s.inFlight == 0 && now.Sub(s.changedAt) > reportPeriod {
			continue
		}
		f.loadsReported = true
		list = append(list, &wire.Share{
			Server: s.hash, Running: uint32(s.inFlight), Reading: uint32(min(s.pendingWork, math.MaxUint32)), Good: s.health.goodCount, Bad: s.health.badCount,
		})
	}
	return list, changed
}

// MergeLoads implements share.LoadTable.
func (f *Fleet) MergeLoads(l *wire.Loads, ttl time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	p := f.peers[l.GetName()]
	if p == nil {
		p = &peer{}
		f.peers[l.GetName()] = p
	}
	restarted := p.run != l.GetRun()
	if !restarted && l.GetSeq() <= p.seq {
		return // a later datagram arrived first
	}
	if zone := ident.Zone(l.GetZone()); !restarted && zone != f.zone {
		f.path(zone).record(float64(l.GetSeq()-p.seq-1), now)
	}
	p.run, p.seq, p.at = l.GetRun(), l.GetSeq(), now
	shares := make(map[uint64]*wire.Share, len(l.GetShares()))
	for _, s := range l.GetShares() {
		shares[s.GetServer()] = s
	}
	for _, s := range f.servers {
		last := s.peerLoads[l.GetName()]
		share := shares[s.hash]
		if share == nil {
			if last != nil {
				last.running, last.pendingWork = 0, 0
			}
			continue
		}
		if last == nil {
			last = &peerLoad{good: share.GetGood(), bad: share.GetBad()}
			if s.peerLoads == nil {
				s.peerLoads = map[string]*peerLoad{}
			}
			s.peerLoads[l.GetName()] = last
		} else if restarted || share.GetGood() < last.good || share.GetBad() < last.bad {
			last.good, last.bad = share.GetGood(), share.GetBad()
		}
		s.health.mergePeer(s, float64(share.GetGood()-last.good), float64(share.GetBad()-last.bad), now)
		*last = peerLoad{
			at: now, expires: now.Add(ttl), running: float64(share.GetRunning()), pendingWork: float64(share.GetReading()),
			good: share.GetGood(), bad: share.GetBad(),
		}
	}
}

// peer is another gate.
type peer struct {
	run, seq uint64
	at       time.Time
}

// zonePath is the network path between this gate's availability zone and
// another one.
type zonePath struct {
	decayedAt      time.Time
	lost, received float64 // datagrams, decaying
}

// lossHalfLife is the time after which what was seen of a path counts half.
const lossHalfLife = 1500 * time.Millisecond

// lossPriorDatagrams is the number of datagrams that a path counts as received
// before any arrived.
const lossPriorDatagrams = 20

func (f *Fleet) path(zone ident.Zone) *zonePath {
	p := f.paths[zone]
	if p == nil {
		p = &zonePath{}
		f.paths[zone] = p
	}
	return p
}

// record counts a received datagram and those missing before it. A gap as long
// as an interruption of the path counts no more than a few lost datagrams.
func (p *zonePath) record(missing float64, now time.Time) {
	const maxMissing = 4
	p.decay(now)
	p.received++
	p.lost += min(missing, maxMissing)
}

func (p *zonePath) decay(now time.Time) {
	if !p.decayedAt.IsZero() {
		f := math.Exp2(-float64(now.Sub(p.decayedAt)) / float64(lossHalfLife))
		p.lost, p.received = p.lost*f, p.received*f
	}
	p.decayedAt = now
}

// lossShare returns the recent share of lost datagrams.
func (p *zonePath) lossShare(now time.Time) float64 {
	p.decay(now)
	return p.lost / (p.lost + p.received + lossPriorDatagrams)
}

// peerTotals sums up the valid loads that the other gates have reported.
func (s *Server) peerTotals(now time.Time) (running, pendingWork float64) {
	for _, p := range s.peerLoads {
		if now.Before(p.expires) {
			running += p.running
			pendingWork += p.pendingWork
		}
	}
	return running, pendingWork
}
