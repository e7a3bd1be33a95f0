package fleet

import (
	"math"
	"time"

	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// part is what another gate told of its attempts at a server.
type part struct {
	at               time.Time
	until            time.Time
	running, reading float64
	good, bad        uint32
}

// tell is how long after its last change a server is told of.
const tell = 3 * time.Second

// LocalLoads implements share.LoadTable.
func (f *Fleet) LocalLoads() ([]*wire.Share, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.changed
	f.changed = false
	if !changed && !f.busy {
		return nil, false
	}
	var list []*wire.Share
	now := time.Now()
	f.busy = false
	for _, s := range f.servers {
		if s.inflight == 0 && now.Sub(s.touched) > tell {
			continue
		}
		f.busy = true
		list = append(list, &wire.Share{
			Server: s.hash, Running: uint32(s.inflight), Reading: uint32(min(s.reading, math.MaxUint32)), Good: s.health.goods, Bad: s.health.bads,
		})
	}
	return list, changed
}

// MergeLoads implements share.LoadTable.
func (f *Fleet) MergeLoads(l *wire.Loads, keep time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	p := f.peers[l.GetName()]
	if p == nil {
		p = &peer{}
		f.peers[l.GetName()] = p
	}
	fresh := p.run != l.GetRun()
	if !fresh && l.GetSeq() <= p.seq {
		return // overtaken on the way
	}
	if zone := ident.Zone(l.GetZone()); !fresh && zone != f.zone {
		f.path(zone).note(float64(l.GetSeq()-p.seq-1), now)
	}
	p.run, p.seq, p.at = l.GetRun(), l.GetSeq(), now
	told := make(map[uint64]*wire.Share, len(l.GetShares()))
	for _, s := range l.GetShares() {
		told[s.GetServer()] = s
	}
	for _, s := range f.servers {
		of := s.parts[l.GetName()]
		t := told[s.hash]
		if t == nil {
			if of != nil {
				of.running, of.reading = 0, 0
			}
			continue
		}
		if of == nil {
			of = &part{good: t.GetGood(), bad: t.GetBad()}
			if s.parts == nil {
				s.parts = map[string]*part{}
			}
			s.parts[l.GetName()] = of
		} else if fresh || t.GetGood() < of.good || t.GetBad() < of.bad {
			of.good, of.bad = t.GetGood(), t.GetBad()
		}
		s.health.heard(s, float64(t.GetGood()-of.good), float64(t.GetBad()-of.bad), now)
		*of = part{
			at: now, until: now.Add(keep), running: float64(t.GetRunning()), reading: float64(t.GetReading()),
			good: t.GetGood(), bad: t.GetBad(),
		}
	}
}

// peer is another gate.
type peer struct {
	run, seq uint64
	at       time.Time
}

// path is the way between this gate's availability zone and another one.
type path struct {
	at         time.Time
	lost, came float64 // datagrams, fading with time
}

// pathTime is the time in which what was seen of a path counts half.
const pathTime = 1500 * time.Millisecond

// pathLeast is the number of datagrams that count as come before any did.
const pathLeast = 20

func (f *Fleet) path(zone ident.Zone) *path {
	p := f.paths[zone]
	if p == nil {
		p = &path{}
		f.paths[zone] = p
	}
	return p
}

// note counts a datagram that came and those that were missing before it. A gap
// as long as a cut of the path counts no more than a few lost ones.
func (p *path) note(missing float64, now time.Time) {
	const most = 4
	p.fade(now)
	p.came++
	p.lost += min(missing, most)
}

func (p *path) fade(now time.Time) {
	if !p.at.IsZero() {
		f := math.Exp2(-float64(now.Sub(p.at)) / float64(pathTime))
		p.lost, p.came = p.lost*f, p.came*f
	}
	p.at = now
}

// loss returns the recent share of lost datagrams.
func (p *path) loss(now time.Time) float64 {
	p.fade(now)
	return p.lost / (p.lost + p.came + pathLeast)
}

// others sums up what the other gates told.
func (s *Server) others(now time.Time) (running, reading float64) {
	for _, p := range s.parts {
		if now.Before(p.until) {
			running += p.running
			reading += p.reading
		}
	}
	return running, reading
}
