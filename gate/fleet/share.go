package fleet

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
	"citronledge.example/gate/share"
)

// peerLoad is what a source has reported about the attempts at a server.
type peerLoad struct {
	expires              time.Time
	running, pendingWork float64
	good, bad            uint32
}

// reportPeriod is how long a server is reported after its load last changed.
const reportPeriod = 3 * time.Second

// LocalLoads implements share.LoadTable.
func (f *Fleet) LocalLoads() ([]share.Load, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.loadsChanged
	f.loadsChanged = false
	if !changed && !f.loadsReported {
		return nil, false
	}
	var list []share.Load
	now := time.Now()
	f.loadsReported = false
	for _, s := range f.servers {
		if s.inFlight == 0 && now.Sub(s.changedAt) > reportPeriod {
			continue
		}
		f.loadsReported = true
		list = append(list, share.Load{
			Server: s.loadKey(), Running: uint32(s.inFlight), Reading: uint32(min(s.pendingWork, math.MaxUint32)), Good: s.health.goodCount, Bad: s.health.badCount,
		})
	}
	return list, changed
}

// loadKey is the hash by which gates name the server in their reports.
func (s *Server) loadKey() uint32 { return uint32(s.hash) }

// HashBackend returns the hash by which gates name a server in their reports.
func HashBackend(id ident.Backend) uint32 { return uint32(hashID(id)) }

func hashID(id ident.Backend) uint64 { return xxhash.Sum64String(string(id)) }

// MergeLoads implements share.LoadTable.
func (f *Fleet) MergeLoads(r share.Report, ttl time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	p := f.peers[r.Source]
	if p == nil {
		p = &peer{}
		f.peers[r.Source] = p
	}
	restarted := p.run != r.Run
	if !restarted && r.Seq <= p.seq {
		return // a later report arrived first
	}
	if !restarted && r.Zone != f.zone {
		f.path(r.Zone).record(float64(r.Seq-p.seq-1), now)
	}
	p.run, p.seq = r.Run, r.Seq
	loads := make(map[uint32]share.Load, len(r.Loads))
	for _, l := range r.Loads {
		loads[l.Server] = l
	}
	for _, s := range f.servers {
		last := s.peerLoads[r.Source]
		l, reported := loads[s.loadKey()]
		if !reported {
			if last != nil {
				last.running, last.pendingWork = 0, 0
			}
			continue
		}
		if last == nil {
			last = &peerLoad{good: l.Good, bad: l.Bad}
			if s.peerLoads == nil {
				s.peerLoads = map[string]*peerLoad{}
			}
			s.peerLoads[r.Source] = last
		} else if restarted || l.Good < last.good || l.Bad < last.bad {
			last.good, last.bad = l.Good, l.Bad
		}
		s.health.mergePeer(s, float64(l.Good-last.good), float64(l.Bad-last.bad), now)
		*last = peerLoad{
			expires: now.Add(ttl), running: float64(l.Running), pendingWork: float64(l.Reading), good: l.Good, bad: l.Bad,
		}
	}
}

// SetExchange implements share.LoadTable.
func (f *Fleet) SetExchange(gates share.Gates, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gates, f.exchangeDelay = gates, delay
	f.cold.gates.set(gates.Self, gates.Others, time.Now())
	f.cold.version++
	for _, s := range f.servers {
		if s.limit.inUse {
			f.shareLimit(s)
		}
	}
}

// ForgetLoads implements share.LoadTable.
func (f *Fleet) ForgetLoads() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.peers)
	for _, s := range f.servers {
		s.peerLoads = nil
	}
}

// PathLosses implements share.LoadTable.
func (f *Fleet) PathLosses() []*wire.PathLoss {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var list []*wire.PathLoss
	for zone, p := range f.paths {
		p.decay(now)
		if p.lost > 0 {
			list = append(list, &wire.PathLoss{Zone: string(zone), Lost: float32(p.lost), Received: float32(p.received)})
		}
	}
	return list
}

// SetPathLosses implements share.LoadTable.
func (f *Fleet) SetPathLosses(list []*wire.PathLoss) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	clear(f.paths)
	for _, l := range list {
		f.paths[ident.Zone(l.GetZone())] = &zonePath{decayedAt: now, lost: float64(l.GetLost()), received: float64(l.GetReceived())}
	}
}

// peer is a source of reports.
type peer struct{ run, seq uint64 }

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

// peerTotals sums up the valid loads that have been reported.
func (s *Server) peerTotals(now time.Time) (running, pendingWork float64) {
	for _, p := range s.peerLoads {
		if now.Before(p.expires) {
			running += p.running
			pendingWork += p.pendingWork
		}
	}
	return running, pendingWork
}
