package share

import (
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"citronledge.example/core/group"
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
)

// loadTable is a LoadTable that records what it receives.
type loadTable struct {
	mu       sync.Mutex
	own      []Load
	received map[string]Report
	losses   []*wire.PathLoss
}

func newLoadTable(own ...Load) *loadTable { return &loadTable{own: own, received: map[string]Report{}} }

func (s *loadTable) LocalLoads() ([]Load, bool) { return s.own, true }

func (s *loadTable) MergeLoads(r Report, _ time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received[r.Source] = r
}

func (s *loadTable) ForgetLoads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.received)
}

func (s *loadTable) SetExchange(Gates, time.Duration) {}

func (s *loadTable) Limits() []Limit { return nil }

func (s *loadTable) MergeLimits([]Limit) {}

func (s *loadTable) PathLosses() []*wire.PathLoss { return s.losses }

func (s *loadTable) SetPathLosses(l []*wire.PathLoss) { s.losses = l }

func (s *loadTable) from(source string) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[source]
}

// sessionTable is a SessionTable that counts what it receives.
type sessionTable struct {
	mu       sync.Mutex
	own      []Session
	received map[uint32]int // times that each was received
}

func (k *sessionTable) TakeServedSessions() []Session {
	k.mu.Lock()
	defer k.mu.Unlock()
	own := k.own
	k.own = nil
	return own
}

func (k *sessionTable) MergeSessions(l []Session) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range l {
		if k.received == nil {
			k.received = map[uint32]int{}
		}
		k.received[s.ID]++
	}
}

func (k *sessionTable) times(id uint32) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.received[id]
}

func newExchange(t *testing.T, name, addr string, keys *link.Keys, loads LoadTable, sessions SessionTable, others ...string) *Exchange {
	t.Helper()
	x := New(Config{Name: name, Self: Member{Addr: netip.MustParseAddrPort(addr), Zone: "zone"}, Loads: loads, Sessions: sessions}, keys)
	gates := []*wire.Gate{{Addr: addr, Zone: "zone"}}
	for _, o := range others {
		gates = append(gates, &wire.Gate{Addr: o, Zone: "zone"})
	}
	x.SetGates(gates)
	return x
}

func address(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

// Each session is sent twice, so that a lost datagram does not hide it.
func TestSessions(t *testing.T) {
	keys := link.NewKeys("k", link.RoleProcess, []byte("0123456789abcdef"))
	g := group.New(t.Context())
	one, two := address(t), address(t)
	a, b := &sessionTable{own: []Session{{ID: 5, Version: 1}}}, &sessionTable{}
	g.Go("b", newExchange(t, "b", two, keys, newLoadTable(), b, one).Run)
	g.Go("a", newExchange(t, "a", one, keys, newLoadTable(), a, two).Run)
	for end := time.Now().Add(5 * time.Second); b.times(5) < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the session was received %d times in 5 s, want 2", b.times(5))
		}
	}
	g.Stop()
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
}

// Loads reach the other gates, and datagrams that are sealed with another key
// are dropped: they could keep all traffic from a server.
func TestExchange(t *testing.T) {
	keys := link.NewKeys("k", link.RoleProcess, []byte("0123456789abcdef"))
	other := link.NewKeys("k", link.RoleProcess, []byte("fedcba9876543210"))
	g := group.New(t.Context())
	one, two, three := address(t), address(t), address(t)
	a, b := newLoadTable(Load{Server: 7, Running: 2}), newLoadTable()
	g.Go("a", newExchange(t, "a", one, keys, a, nil, two, three).Run)
	g.Go("b", newExchange(t, "b", two, keys, b, nil, one, three).Run)
	g.Go("stranger", newExchange(t, "stranger", three, other, a, nil, two).Run)
	for end := time.Now().Add(5 * time.Second); b.from(one).Seq == 0 || a.from(two).Seq == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no loads in 5 s")
		}
	}
	if got := b.from(one); len(got.Loads) != 1 || got.Loads[0].Running != 2 || got.Zone != "zone" {
		t.Errorf("got %v", got)
	}
	for last := b.from(one).Seq; b.from(one).Seq < last+5; time.Sleep(time.Millisecond) {
		if b.from(three).Seq > 0 {
			t.Fatal("a datagram without a valid seal was accepted")
		}
	}
	g.Stop()
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
}

// An address of a gate that cannot be read is left out, and the others hold.
func TestInvalidGate(t *testing.T) {
	x := newExchange(t, "a", "127.0.0.1:1", nil, newLoadTable(), nil, "host:7", "127.0.0.2:1")
	if x.topo.size != 2 {
		t.Errorf("got %d gates, want 2", x.topo.size)
	}
}
