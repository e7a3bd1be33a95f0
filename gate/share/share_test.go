package share

import (
	"context"
	"net"
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
	own      []*wire.Share
	received map[string]*wire.Loads
}

func (s *loadTable) LocalLoads() ([]*wire.Share, bool) { return s.own, true }

func (s *loadTable) MergeLoads(l *wire.Loads, _ time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received[l.GetName()] = l
}

func (s *loadTable) from(name string) *wire.Loads {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[name]
}

// sessionTable is a SessionTable that counts what it receives.
type sessionTable struct {
	mu       sync.Mutex
	own      []*wire.Seen
	received map[uint64]int // times that each was received
}

func (k *sessionTable) TakeServedSessions() []*wire.Seen {
	k.mu.Lock()
	defer k.mu.Unlock()
	own := k.own
	k.own = nil
	return own
}

func (k *sessionTable) MergeSessions(l []*wire.Seen) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range l {
		if k.received == nil {
			k.received = map[uint64]int{}
		}
		k.received[s.GetSession()]++
	}
}

// Each session is sent twice, so that a lost datagram does not hide it.
func TestSessions(t *testing.T) {
	keys := link.NewKeys("k", link.RoleProcess, []byte("0123456789abcdef"))
	g := group.New(t.Context())
	one, two := address(t), address(t)
	a, b := &sessionTable{own: []*wire.Seen{{Session: 5, Version: 1}}}, &sessionTable{}
	start := func(name, addr string, k SessionTable, to string) {
		x := New(name, "zone", addr, keys, &loadTable{received: map[string]*wire.Loads{}}, k, nil)
		x.SetPeers([]string{to})
		g.Go(name, func(ctx context.Context) error { return x.Run(ctx) })
	}
	start("b", two, b, one)
	start("a", one, a, two)
	received := func() int {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.received[5]
	}
	for end := time.Now().Add(5 * time.Second); received() < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the session was received %d times in 5 s, want 2", received())
		}
	}
	g.Stop()
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
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

// Loads reach the other gates, and datagrams that are sealed with another key
// are dropped: they could keep all traffic from a server.
func TestExchange(t *testing.T) {
	keys := link.NewKeys("k", link.RoleProcess, []byte("0123456789abcdef"))
	other := link.NewKeys("k", link.RoleProcess, []byte("fedcba9876543210"))
	g := group.New(t.Context())
	one, two := address(t), address(t)
	a, b := &loadTable{own: []*wire.Share{{Server: 7, Running: 2}}, received: map[string]*wire.Loads{}}, &loadTable{received: map[string]*wire.Loads{}}
	start := func(name, addr string, k *link.Keys, s LoadTable, to string) {
		x := New(name, "zone", addr, k, s, &sessionTable{}, nil)
		x.SetPeers([]string{to})
		g.Go(name, func(ctx context.Context) error { return x.Run(ctx) })
	}
	start("a", one, keys, a, two)
	start("b", two, keys, b, one)
	start("stranger", address(t), other, a, two)
	for end := time.Now().Add(5 * time.Second); b.from("a") == nil || a.from("b") == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no loads in 5 s")
		}
	}
	if got := b.from("a"); len(got.GetShares()) != 1 || got.GetShares()[0].GetRunning() != 2 || got.GetZone() != "zone" {
		t.Errorf("got %v", got)
	}
	for last := b.from("a").GetSeq(); b.from("a").GetSeq() < last+5; time.Sleep(time.Millisecond) {
		if b.from("stranger") != nil {
			t.Fatal("a datagram without a valid seal was accepted")
		}
	}
	g.Stop()
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
}

// With many gates each one sends less often, so that the rate of datagrams at a
// gate stays bounded. An empty list, as from a leader that does not know the
// gates yet, changes nothing.
func TestSendSchedule(t *testing.T) {
	x := New("a", "z", "127.0.0.1:1", nil, nil, nil, nil)
	for name, c := range map[string]struct {
		peers int
		want  time.Duration
	}{"few": {2, minSendInterval}, "many": {320, 2 * time.Second}} {
		var list []string
		for range c.peers {
			list = append(list, "127.0.0.1:9")
		}
		x.SetPeers(list)
		x.SetPeers(nil)
		if got, peers := x.sendSchedule(); got != c.want || len(peers) != c.peers {
			t.Errorf("%s: got %v to %d, want %v to %d", name, got, len(peers), c.want, c.peers)
		}
	}
}

// Exactly one of the gates that know each other has rank 0.
func TestRank(t *testing.T) {
	all := []string{"127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1", "127.0.0.4:1"}
	seen := map[int]bool{}
	for i, own := range all {
		x := New("g", "z", own, nil, nil, nil, nil)
		x.SetPeers(append(append([]string(nil), all[:i]...), all[i+1:]...))
		seen[x.Rank()] = true
	}
	if len(seen) != len(all) || !seen[0] {
		t.Errorf("got ranks %v of %d gates, want each once", seen, len(all))
	}
}
