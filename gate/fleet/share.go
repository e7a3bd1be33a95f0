package fleet

import (
	"math"
	"time"

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

// Shares implements share.Source.
func (f *Fleet) Shares() ([]*wire.Share, bool) {
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

// Heard implements share.Source.
func (f *Fleet) Heard(l *wire.Loads, keep time.Duration) {
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
