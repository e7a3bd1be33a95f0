package fleet

import (
	"encoding/binary"
	"hash"
	"maps"
	"math"
	"slices"
	"time"

	"citronledge.example/core/ident"
	"citronledge.example/platform"
)

// coldTolerance is the difference up to which two statements about the end of a
// cold time are the same one. They pass through several gates, each of which
// takes up to half a second. Without it, gates would prolong a cold time for each
// other.
const coldTolerance = 2 * time.Second

// listedCold is what the list says of the cold time of a server.
type listedCold struct {
	until time.Time
	// mark counts the changes of the cold time and is odd while the server is
	// cold. It is part of the digest of the list in place of the time left, which
	// differs with each reading.
	mark uint32
}

// listedColds holds the servers of a list that are or were cold.
type listedColds map[ident.Backend]listedCold

func (c listedCold) isCold() bool { return c.mark%2 == 1 }

// leftMillis returns for how many milliseconds the server stays cold.
func (c listedCold) leftMillis(now time.Time) uint32 {
	if !c.isCold() {
		return 0
	}
	return uint32(min(math.MaxUint32, max(0, c.until.Sub(now).Milliseconds())))
}

// add stores what another gate's list says of a server.
func (m listedColds) add(id ident.Backend, mark uint32, left time.Duration, now time.Time) {
	if mark > 0 {
		m[id] = listedCold{now.Add(left), mark}
	}
}

// copy copies the entries of some servers.
func (m listedColds) copy(from listedColds, servers []platform.ListedBackend) {
	for _, x := range servers {
		if c, ok := from[x.ID]; ok {
			m[x.ID] = c
		}
	}
}

// noteListedColds turns the time that a reading names for each cold server into a
// point in time. One that is known already stays as it is, so that its mark and
// the digest of the list change only with the facts. What the list says of
// services whose servers have no cold time is removed; before the first
// configuration this is not known. It must be called with mu held.
func (f *Fleet) noteListedColds(list []platform.ListedBackend, now time.Time) ([]platform.ListedBackend, listedColds) {
	list, colds := slices.Clone(list), listedColds{}
	for i := range list {
		x := &list[i]
		if f.cold.rules != nil && f.cold.rules[x.Service].Rate == 0 {
			x.Born, x.ColdLeft, x.ColdNamed = 0, 0, false
			continue
		}
		held := f.list.cold[x.ID]
		switch until := now.Add(x.ColdLeft); {
		case x.ColdLeft > 0 && !held.isCold():
			held = listedCold{until, held.mark + 1}
		case x.ColdLeft > 0 && until.Sub(held.until).Abs() > coldTolerance:
			held = listedCold{until, held.mark + 2}
		case x.ColdLeft <= 0 && held.isCold():
			held = listedCold{mark: held.mark + 1}
		}
		if held.mark > 0 {
			colds[x.ID] = held
		}
		x.ColdLeft = 0
	}
	return list, colds
}

// hashCold adds what the list says of a start and a cold time to its digest.
// Without both it adds nothing, as gates of an older build do.
func hashCold(h hash.Hash, born int64, mark uint32) {
	if born == 0 && mark == 0 {
		return
	}
	_, _ = h.Write(binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint64(nil, uint64(born)), mark))
}

// noteListed begins or prolongs the cold time of a server by its entry in the
// list. It must be called with mu held.
func (f *Fleet) noteListed(s *Server, entry platform.ListedBackend, now time.Time) {
	c, listed := &s.cold, f.list.cold[entry.ID]
	born := s.Born
	s.Born = entry.Born
	if !c.known {
		c.known, c.rule, c.mark = true, f.cold.rules[entry.Service], listed.mark
		switch {
		case entry.ColdNamed:
			f.beginCold(s, listed.until, "list", now)
		case f.cold.listed:
			f.beginCold(s, now.Add(c.rule.Duration), "new", now)
		}
		return
	}
	if restarted := born != 0 && entry.Born != 0 && born != entry.Born; restarted {
		c.unanswered = false
		until := now.Add(c.rule.Duration)
		if listed.until.After(now) {
			until = listed.until
		}
		f.beginCold(s, until, "restarted", now)
	} else if listed.mark != c.mark && listed.until.Sub(c.until) > coldTolerance {
		f.beginCold(s, listed.until, "list", now)
	}
	c.mark = listed.mark
}

// knownGates are the gates that may send to a server at the same time as this
// one.
type knownGates struct {
	self   uint64
	since  time.Time
	others map[uint64]time.Time // when each was removed from the list of gates; zero if it is on it
}

const (
	// gatesSettling is how long the list of gates must have been known. After the
	// loss of all VMs the gates appear on it one after the other.
	gatesSettling = 3 * time.Second
	// gateMemory is how long a gate counts that is no longer on the list: it may
	// be cut off and go on to send.
	gateMemory = 10 * time.Minute
)

// set stores the list of gates.
func (k *knownGates) set(self uint64, others []uint64, now time.Time) {
	if k.since.IsZero() {
		k.since = now
	}
	k.self = self
	if k.others == nil {
		k.others = map[uint64]time.Time{}
	}
	for gate, removedAt := range k.others {
		if removedAt.IsZero() && !slices.Contains(others, gate) {
			k.others[gate] = now
		}
	}
	for _, gate := range others {
		k.others[gate] = time.Time{}
	}
	delete(k.others, self)
}

// count returns all gates that have been known lately, this one included, and
// the rank of this one for a server; ok is false while the list is not known
// long enough.
func (k *knownGates) count(server uint64, now time.Time) (gates, rank int, ok bool) {
	if !k.areKnown(now) {
		return 0, 0, false
	}
	maps.DeleteFunc(k.others, func(_ uint64, removedAt time.Time) bool {
		return !removedAt.IsZero() && now.Sub(removedAt) > gateMemory
	})
	own := mixBits(k.self ^ server)
	for gate := range k.others {
		if mixBits(gate^server) > own {
			rank++
		}
	}
	return 1 + len(k.others), rank, true
}

// areKnown reports whether the list of gates has been known long enough.
func (k *knownGates) areKnown(now time.Time) bool {
	return !k.since.IsZero() && now.Sub(k.since) >= gatesSettling
}
