package share

import (
	"cmp"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// maxLoads limits the backend servers in one datagram.
const maxLoads = 2500

// Load is what gates have in flight at a backend server.
type Load struct {
	Server  uint32 // hash of its ID
	Running uint32 // attempts in flight
	// Reading is the prompt work of the attempts that have no answer yet, in
	// tokens of the smallest model.
	Reading uint32
	// Good and Bad are counts of outcomes; only their growth has a meaning.
	Good, Bad uint32
}

// Report is what one source says of the loads. A source is a gate, a group of
// gates, or all gates but the receiver.
type Report struct {
	Source string
	// Run changes when the source starts to count anew, and Seq grows with each
	// report of a run.
	Run, Seq uint64
	// Zone is that of the sender.
	Zone  ident.Zone
	Loads []Load
}

// putLoads writes loads to a message, those with the most work first if there
// are too many.
func putLoads(l *wire.Loads, loads []Load) {
	if len(loads) > maxLoads {
		loads = slices.Clone(loads)
		slices.SortFunc(loads, func(a, b Load) int {
			return cmp.Or(cmp.Compare(b.Running, a.Running), cmp.Compare(b.Reading, a.Reading))
		})
		loads = loads[:maxLoads]
	}
	for _, x := range loads {
		l.Servers = append(l.Servers, x.Server)
		l.Running = append(l.Running, x.Running)
		l.Reading = append(l.Reading, x.Reading)
		l.Good = append(l.Good, x.Good)
		l.Bad = append(l.Bad, x.Bad)
	}
}

var errUneven = eris.New("the lists of loads have different lengths")

// getLoads reads the loads of a message.
func getLoads(l *wire.Loads) ([]Load, error) {
	n := len(l.GetServers())
	if len(l.GetRunning()) != n || len(l.GetReading()) != n || len(l.GetGood()) != n || len(l.GetBad()) != n {
		return nil, errUneven
	}
	loads := make([]Load, n)
	for i, server := range l.GetServers() {
		loads[i] = Load{server, l.GetRunning()[i], l.GetReading()[i], l.GetGood()[i], l.GetBad()[i]}
	}
	return loads, nil
}

// counts are outcomes of a backend server.
type counts struct{ good, bad uint32 }

// source holds the reports of one source.
type source struct {
	run     uint64
	expires time.Time
	loads   []Load            // of the last report
	last    map[uint32]counts // last reported outcomes, by server
	grown   map[uint32]counts // outcomes since the first report
}

// update stores a report. Outcomes from before the first report of a run are
// not counted.
func (s *source) update(run uint64, loads []Load, expires time.Time) {
	if s.run != run {
		s.run, s.last = run, map[uint32]counts{}
	}
	if s.grown == nil {
		s.grown = map[uint32]counts{}
	}
	s.loads, s.expires = loads, expires
	for _, l := range loads {
		if last, ok := s.last[l.Server]; ok && l.Good >= last.good && l.Bad >= last.bad {
			g := s.grown[l.Server]
			s.grown[l.Server] = counts{g.good + l.Good - last.good, g.bad + l.Bad - last.bad}
		}
		s.last[l.Server] = counts{l.Good, l.Bad}
	}
}

// sum adds up the loads of several sources.
type sum map[uint32]Load

// add adds the loads of a source, unless they have expired.
func (t sum) add(s *source, now time.Time) {
	if !now.Before(s.expires) {
		return
	}
	for _, l := range s.loads {
		x := t[l.Server]
		t[l.Server] = Load{Server: l.Server, Running: x.Running + l.Running, Reading: x.Reading + l.Reading, Good: x.Good, Bad: x.Bad}
	}
}

// addOutcomes adds the outcomes of a source for the servers that the sum has.
func (t sum) addOutcomes(grown map[uint32]counts) {
	for server, c := range grown {
		if x, ok := t[server]; ok {
			x.Good += c.good
			x.Bad += c.bad
			t[server] = x
		}
	}
}

// without returns the sum less the part of one source, ordered by server.
func (t sum) without(s *source, now time.Time) []Load {
	part := sum{}
	if s != nil {
		part.add(s, now)
		part.addOutcomes(s.grown)
	}
	list := make([]Load, 0, len(t))
	for server, x := range t {
		p := part[server]
		list = append(list, Load{server, x.Running - p.Running, x.Reading - p.Reading, x.Good - p.Good, x.Bad - p.Bad})
	}
	slices.SortFunc(list, func(a, b Load) int { return cmp.Compare(a.Server, b.Server) })
	return list
}
