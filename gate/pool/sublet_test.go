package pool

import (
	"context"
	"net"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
)

// fakeState is a client of the state cluster whose view and lease are set.
type fakeState struct {
	mu    sync.Mutex
	view  *conf.View
	until time.Time
	watch chan struct{}
}

func (s *fakeState) View() *conf.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

func (s *fakeState) ViewChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watch
}

func (s *fakeState) LeaseExpiry() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.until
}

func (*fakeState) Propose(context.Context, *wire.Command) (*wire.Result, error) { return nil, nil }

func (s *fakeState) lease(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = time.Now().Add(d)
}

// commit applies a change at the gate and returns its revision.
func (s *fakeState) commit(t *testing.T, key, value string) ident.Revision {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	from := uint64(s.view.Revision)
	next, err := s.view.Apply(&wire.Delta{From: from, Revision: from + 1, Entries: []*wire.Entry{{Key: key, Value: []byte(value)}}})
	if err != nil {
		t.Fatal(err)
	}
	s.view = next
	close(s.watch)
	s.watch = make(chan struct{})
	return next.Revision
}

// fakeSide is a side process that sends what the test says.
type fakeSide struct {
	t    *testing.T
	sess *link.Session
	ctl  *link.Stream
	seq  uint64
}

func (f *fakeSide) renew(revision ident.Revision) {
	f.t.Helper()
	f.seq++
	r := &wire.Renew{Seq: f.seq, Revision: uint64(revision)}
	if err := f.ctl.Send(&wire.Control{Kind: &wire.Control_Renew{Renew: r}}); err != nil {
		f.t.Fatal(err)
	}
}

// granted renews and returns the grant.
func (f *fakeSide) granted(revision ident.Revision) *wire.Grant {
	f.t.Helper()
	f.renew(revision)
	for {
		var m wire.Control
		if err := f.ctl.Recv(&m); err != nil {
			f.t.Fatal(err)
		}
		if g := m.GetGrant(); g.GetSeq() == f.seq {
			return g
		}
	}
}

// sublease runs a test with one linked side process. Its gate has a lease of
// a minute and the first revision.
func sublease(t *testing.T, f func(t *testing.T, p *Pool, s *fakeState, accept func() *fakeSide)) {
	empty := func() { runtime.GC(); runtime.GC() } // yamux pools timers, which must not leave the bubble
	empty()
	defer empty()
	synctest.Test(t, func(t *testing.T) {
		keys := link.NewKeys("p", link.RoleProcess, []byte("0123456789abcdef"))
		conns := make(chan net.Conn)
		s := &fakeState{view: conf.EmptyView(), watch: make(chan struct{})}
		s.commit(t, "members/r1", `{"addr":"r1","models":["small"]}`)
		s.lease(time.Minute)
		p := New(WithClient(s), WithDialer(func(ctx context.Context, _ string) (*link.Session, error) {
			near, far := net.Pipe()
			select {
			case conns <- far:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			return link.Client(near, link.Config{Name: "gate", Keys: keys})
		}))
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		wg.Go(func() { _ = p.Run(ctx) })
		f(t, p, s, func() *fakeSide {
			sess, err := link.Server(<-conns, link.Config{Name: "r1", Keys: keys})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = sess.Close() })
			ctl, err := sess.Accept()
			if err != nil {
				t.Fatal(err)
			}
			return &fakeSide{t: t, sess: sess, ctl: ctl}
		})
	})
}

// waits checks that a revision is held back for a time and no longer.
func waits(t *testing.T, p *Pool, revision ident.Revision, want time.Duration) {
	t.Helper()
	const late = 10 * time.Millisecond
	start := time.Now()
	acked, next, _ := p.sublets.AcknowledgedRevision(revision)
	for acked < revision && !next.IsZero() {
		time.Sleep(time.Until(next))
		acked, next, _ = p.sublets.AcknowledgedRevision(revision)
	}
	if got := time.Since(start); acked != revision || got < want || got > want+late {
		t.Errorf("got revision %d acknowledged after %s, want %d after %s", acked, got, revision, want)
	}
}

// Guards rule 2 against a side process that is suspended while a version is
// withdrawn: when it goes on, it may admit work until its sub-lease ends. The
// change must not come into force before, and a side process that never goes
// on must not hold it up for longer.
func TestFrozenSideHoldsBack(t *testing.T) {
	tests := map[string]func(f *fakeSide){
		"frozen": func(*fakeSide) {},
		"cut":    func(f *fakeSide) { _ = f.sess.Close() },
	}
	for name, fail := range tests {
		t.Run(name, func(t *testing.T) {
			sublease(t, func(t *testing.T, p *Pool, s *fakeState, accept func() *fakeSide) {
				f := accept()
				first := s.View().Revision
				f.renew(0)
				if g := f.granted(first); g.GetTtl() != uint32(ident.MaxSublease/time.Millisecond) {
					t.Fatalf("got %v, want a sub-lease", g)
				}
				fail(f)
				synctest.Wait()
				waits(t, p, s.commit(t, "withdrawn/small/v1", "{}"), ident.MaxSublease+ident.MaxSublease/100)
			})
		})
	}
}

// Guards against an acknowledgement that waits although the side process has
// the change, and against grants to one that does not.
func TestOnlyCurrentSideIsGranted(t *testing.T) {
	sublease(t, func(t *testing.T, p *Pool, s *fakeState, accept func() *fakeSide) {
		f := accept()
		if g := f.granted(0); g.GetTtl() != 0 || !g.GetDelta().GetFull() || g.GetFault() != nil {
			t.Errorf("got %v for a side process without a view, want only the view", g)
		}
		first := s.View().Revision
		f.granted(first)
		second := s.commit(t, "withdrawn/small/v1", "{}")
		synctest.Wait() // the delta is on its way
		if g := f.granted(first); g.GetTtl() != 0 || g.GetDelta() != nil || g.GetFault() != nil {
			t.Errorf("got %v for an older view, want neither time nor the delta again", g)
		}
		acked, _, moved := p.sublets.AcknowledgedRevision(second)
		if acked != first {
			t.Errorf("got revision %d acknowledged, want %d", acked, first)
		}
		if g := f.granted(second); g.GetTtl() == 0 {
			t.Errorf("got %v, want a sub-lease", g)
		}
		<-moved
		waits(t, p, second, 0)
	})
}

// Guards against a sub-lease that outlives the lease of its gate.
func TestSubleaseEndsWithLease(t *testing.T) {
	sublease(t, func(t *testing.T, p *Pool, s *fakeState, accept func() *fakeSide) {
		f := accept()
		revision := s.View().Revision
		for left, want := range map[time.Duration]uint32{300 * time.Millisecond: 297, 0: 0, -time.Second: 0} {
			s.lease(left)
			if got := f.granted(revision).GetTtl(); got != want {
				t.Errorf("got %d ms with a lease of %s, want %d", got, left, want)
			}
		}
		s.lease(300 * time.Millisecond)
		f.granted(revision)
		if got := time.Until(p.sublets.LastExpiry()); got < 297*time.Millisecond || got > 300*time.Millisecond {
			t.Errorf("got the last sub-lease end in %s, want 0.3 s", got)
		}
	})
}

// Guards against new work for a side process that does not answer: within
// 1.5 s on a link with work, also if the link was at rest before.
func TestSilence(t *testing.T) {
	tests := map[string]struct {
		due   time.Duration // of the last report
		asked bool          // work was sent since
		want  time.Duration
	}{
		"no interval told": {0, false, ident.ReportTimeout},
		"with work":        {ident.RenewInterval, true, ident.ReportTimeout},
		"at rest":          {ident.IdleRenewInterval, false, 3 * ident.IdleRenewInterval},
		"work after rest":  {ident.IdleRenewInterval, true, ident.ReportTimeout},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBackend(New(), "r", conf.Member{})
				start := time.Now()
				b.report(&wire.Load{Healthy: true}, tt.due)
				if tt.asked {
					b.ask(start)
					b.begin("chat")
				}
				for at := range map[time.Duration]bool{tt.want - 1: false, tt.want: true} {
					if got := b.silent(start.Add(at)); got != (at >= tt.want) {
						t.Errorf("got silent %v after %s, want from %s on", got, at, tt.want)
					}
				}
				b.report(&wire.Load{Healthy: true}, ident.RenewInterval)
				if b.silent(start.Add(ident.ReportTimeout - 1)) {
					t.Error("got silent after a report")
				}
			})
		})
	}
}

// Guards against strings that get lost because a report leaves them out.
func TestShortReport(t *testing.T) {
	b := newBackend(New(), "r", conf.Member{})
	first := &wire.Load{Backend: "r", Zone: "z", Slots: 4, Healthy: true, Served: []*wire.Served{{Model: "small", Version: "v1"}}}
	second := proto.CloneOf(first)
	second.Running = 3
	third := proto.CloneOf(second)
	third.Slots, third.Running = 5, 0
	var last *wire.Load
	for i, l := range []*wire.Load{first, second, third} {
		short := proto.CloneOf(l.Short(last))
		if same := i == 1; short.GetSame() != same {
			t.Errorf("report %d: got same %v, want %v", i, short.GetSame(), same)
		}
		b.report(short, 0)
		if !proto.Equal(b.load, l) {
			t.Errorf("report %d: got %v, want %v", i, b.load, l)
		}
		last = l
	}
}
