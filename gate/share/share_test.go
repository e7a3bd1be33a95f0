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

// source counts what it is told.
type source struct {
	mu    sync.Mutex
	own   []*wire.Share
	heard map[string]*wire.Loads
}

func (s *source) LocalLoads() ([]*wire.Share, bool) { return s.own, true }

func (s *source) MergeLoads(l *wire.Loads, _ time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[l.GetName()] = l
}

func (s *source) from(name string) *wire.Loads {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard[name]
}

// known are the sessions of a gate.
type known struct {
	mu   sync.Mutex
	own  []*wire.Seen
	list map[uint64]int // how often each was learnt
}

func (k *known) TakeServedSessions() []*wire.Seen {
	k.mu.Lock()
	defer k.mu.Unlock()
	own := k.own
	k.own = nil
	return own
}

func (k *known) MergeSessions(l []*wire.Seen) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range l {
		if k.list == nil {
			k.list = map[uint64]int{}
		}
		k.list[s.GetSession()]++
	}
}

// Each session is told twice, so that a lost datagram does not hide it.
func TestSessions(t *testing.T) {
	keys := link.NewKeys("k", link.Process, []byte("0123456789abcdef"))
	g := group.New(t.Context())
	one, two := address(t), address(t)
	a, b := &known{own: []*wire.Seen{{Session: 5, Version: 1}}}, &known{}
	start := func(name, addr string, k SessionTable, to string) {
		x := New(name, "zone", addr, keys, &source{heard: map[string]*wire.Loads{}}, k, nil)
		x.SetPeers([]string{to})
		g.Go(name, func(ctx context.Context) error { return x.Run(ctx) })
	}
	start("b", two, b, one)
	start("a", one, a, two)
	told := func() int {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.list[5]
	}
	for end := time.Now().Add(5 * time.Second); told() < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the session was told %d times in 5 s, want 2", told())
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

// Loads reach the other gates, and datagrams of somebody without the key are left
// out: they could keep all traffic from a server.
func TestExchange(t *testing.T) {
	keys := link.NewKeys("k", link.Process, []byte("0123456789abcdef"))
	other := link.NewKeys("k", link.Process, []byte("fedcba9876543210"))
	g := group.New(t.Context())
	one, two := address(t), address(t)
	a, b := &source{own: []*wire.Share{{Server: 7, Running: 2}}, heard: map[string]*wire.Loads{}}, &source{heard: map[string]*wire.Loads{}}
	start := func(name, addr string, k *link.Keys, s LoadTable, to string) {
		x := New(name, "zone", addr, k, s, &known{}, nil)
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
			t.Fatal("a datagram without a valid seal was taken")
		}
	}
	g.Stop()
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
}

// With many gates each one sends less often, so that the datagrams that a gate
// gets stay bounded; a leader that does not know the gates yet changes nothing.
func TestEvery(t *testing.T) {
	x := New("a", "z", "127.0.0.1:1", nil, nil, nil, nil)
	for name, c := range map[string]struct {
		others int
		want   time.Duration
	}{"few": {2, leastEvery}, "many": {320, 2 * time.Second}} {
		var list []string
		for range c.others {
			list = append(list, "127.0.0.1:9")
		}
		x.SetPeers(list)
		x.SetPeers(nil)
		if got, others := x.every(); got != c.want || len(others) != c.others {
			t.Errorf("%s: got %v to %d, want %v to %d", name, got, len(others), c.want, c.others)
		}
	}
}

// Exactly one of the gates that know each other is the first.
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
