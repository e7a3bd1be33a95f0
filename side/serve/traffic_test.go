package serve

import (
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
)

// counted counts the bytes of one end of a connection.
type counted struct {
	net.Conn
	in, out atomic.Int64
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(int64(n))
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(int64(n))
	return n, err
}

// rate returns the bytes per second that f takes in both directions.
func (c *counted) rate(f func()) (up, down float64) {
	in, out, start := c.in.Load(), c.out.Load(), time.Now()
	f()
	s := time.Since(start).Seconds()
	return float64(c.in.Load()-in) / s, float64(c.out.Load()-out) / s
}

// Guards the budget for control traffic (3 KB/s for all links of a gate)
// against reports that repeat what has not changed.
func TestControlTraffic(t *testing.T) {
	tests := map[string]struct {
		work     func(g, other *fakeGate)
		up, down float64 // most bytes per second
	}{
		"at rest": {func(_, _ *fakeGate) { time.Sleep(time.Minute) }, 30, 20},
		"busy": {func(g, other *fakeGate) {
			for i := range uint64(4) { // one long work, and a load that changes all the time
				st := g.open(chat(1000+i, 1000, false))
				for j := range uint64(30) {
					other.run(chat(100*i+j+1, 4, false))
					time.Sleep(250 * time.Millisecond)
				}
				_ = st.Close()
			}
		}, 160, 110},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				w := newWorld(t, false)
				g := w.link("gate-1", nil, uint32(ident.MaxSublease/time.Millisecond), 0)
				other := w.link("gate-2", nil, uint32(ident.MaxSublease/time.Millisecond), 0)
				time.Sleep(10 * time.Second)
				synctest.Wait()
				up, down := g.conn.rate(func() { tt.work(g, other) })
				if up > tt.up || down > tt.down {
					t.Errorf("got %.0f B/s up and %.0f down, want at most %.0f and %.0f", up, down, tt.up, tt.down)
				}
				t.Logf("measure=control_traffic link=%q up=%.0f down=%.0f unit=B/s", name, up, down)
			})
		})
	}
}

// Guards against work that is refused because its link was at rest, against a
// wait for a gate that does not answer, and against a leaving side process
// whose gates learn of it only with the next renewal.
func TestWorkOnLinkAtRest(t *testing.T) {
	tests := map[string]struct {
		delay time.Duration // of the grant
		want  fault.Kind
		took  time.Duration // without the time of the work itself
	}{
		"answered": {20 * time.Millisecond, "", 20 * time.Millisecond},
		"silent":   {time.Minute, fault.NoLease, 300 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				w := newWorld(t, false)
				g := w.link("gate-1", nil, uint32(ident.MaxSublease/time.Millisecond), 0)
				time.Sleep(ident.LinkIdleAfter + ident.IdleRenewInterval + ident.MaxSublease + 50*time.Millisecond)
				if w.server.guard.Subleases.Valid(time.Now()) {
					t.Fatal("the link at rest has a sub-lease; the test needs another time")
				}
				g.mu.Lock()
				g.delay = tt.delay
				g.mu.Unlock()
				start := time.Now()
				got := g.run(chat(1, 1, false))
				took := time.Since(start)
				if got.end.GetRan() {
					took -= 100 * time.Millisecond
				}
				if got.kind() != tt.want || took != tt.took {
					t.Errorf("got %q after %s, want %q after %s", got.kind(), took, tt.want, tt.took)
				}
			})
		})
	}
	t.Run("leaving", func(t *testing.T) {
		inBubble(t, func(t *testing.T) {
			w := newWorld(t, false)
			g := w.link("gate-1", nil, uint32(ident.MaxSublease/time.Millisecond), 0)
			time.Sleep(ident.LinkIdleAfter + ident.IdleRenewInterval + 50*time.Millisecond)
			go w.server.Drain(t.Context())
			synctest.Wait()
			g.mu.Lock()
			defer g.mu.Unlock()
			if !g.loads[len(g.loads)-1].GetLeaving() {
				t.Error("the gate was not told at once")
			}
		})
	})
}
