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

// countingConn counts the bytes that are read and written at one end of a
// connection.
type countingConn struct {
	net.Conn
	bytesRead, bytesWritten atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytesRead.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesWritten.Add(int64(n))
	return n, err
}

// rate runs f and returns the bytes per second read (up) and written (down)
// meanwhile.
func (c *countingConn) rate(f func()) (up, down float64) {
	in, out, start := c.bytesRead.Load(), c.bytesWritten.Load(), time.Now()
	f()
	s := time.Since(start).Seconds()
	return float64(c.bytesRead.Load()-in) / s, float64(c.bytesWritten.Load()-out) / s
}

// The control traffic of all links of a gate has a budget of 3 KB/s, so reports
// must not repeat what has not changed.
func TestControlTraffic(t *testing.T) {
	tests := map[string]struct {
		work           func(g, other *fakeGate)
		maxUp, maxDown float64 // bytes per second
	}{
		"at rest": {func(_, _ *fakeGate) { time.Sleep(time.Minute) }, 30, 20},
		"busy": {func(g, other *fakeGate) {
			for i := range uint64(4) { // one long work, and a load that keeps changing
				st := g.sendWork(chatWork(1000+i, 1000, false))
				for j := range uint64(30) {
					other.run(chatWork(100*i+j+1, 4, false))
					time.Sleep(250 * time.Millisecond)
				}
				_ = st.Close()
			}
		}, 160, 110},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				env := newTestEnv(t, false)
				g := env.connectGate("gate-1", nil, uint32(ident.MaxSublease/time.Millisecond), 0)
				other := env.connectGate("gate-2", nil, uint32(ident.MaxSublease/time.Millisecond), 0)
				time.Sleep(10 * time.Second)
				synctest.Wait()
				up, down := g.conn.rate(func() { tt.work(g, other) })
				if up > tt.maxUp || down > tt.maxDown {
					t.Errorf("got %.0f B/s up and %.0f down, want at most %.0f and %.0f", up, down, tt.maxUp, tt.maxDown)
				}
				t.Logf("measure=control_traffic link=%q up=%.0f down=%.0f unit=B/s", name, up, down)
			})
		})
	}
}

// Work on an idle link, whose sublease has expired, must not be refused if the
// gate answers the renewal, and must not wait long for a gate that does not. A
// side process that is leaving must inform its gates before the next regular
// renewal.
func TestWorkOnIdleLink(t *testing.T) {
	tests := map[string]struct {
		delay time.Duration // of the grant
		want  fault.Kind
		took  time.Duration // without the time of the work itself
	}{
		"answered":   {20 * time.Millisecond, "", 20 * time.Millisecond},
		"unanswered": {time.Minute, fault.NoLease, 300 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				env := newTestEnv(t, false)
				g := env.connectGate("gate-1", nil, uint32(ident.MaxSublease/time.Millisecond), 0)
				time.Sleep(ident.LinkIdleAfter + ident.IdleRenewInterval + ident.MaxSublease + 50*time.Millisecond)
				if env.server.guard.Subleases.Valid(time.Now()) {
					t.Fatal("the idle link still has a sublease; the test must wait longer")
				}
				g.mu.Lock()
				g.delay = tt.delay
				g.mu.Unlock()
				start := time.Now()
				got := g.run(chatWork(1, 1, false))
				took := time.Since(start)
				if got.end.GetRan() {
					took -= 100 * time.Millisecond
				}
				if got.faultKind() != tt.want || took != tt.took {
					t.Errorf("got %q after %s, want %q after %s", got.faultKind(), took, tt.want, tt.took)
				}
			})
		})
	}
	t.Run("leaving", func(t *testing.T) {
		inBubble(t, func(t *testing.T) {
			env := newTestEnv(t, false)
			g := env.connectGate("gate-1", nil, uint32(ident.MaxSublease/time.Millisecond), 0)
			time.Sleep(ident.LinkIdleAfter + ident.IdleRenewInterval + 50*time.Millisecond)
			go env.server.Drain(t.Context())
			synctest.Wait()
			g.mu.Lock()
			defer g.mu.Unlock()
			if !g.loads[len(g.loads)-1].GetLeaving() {
				t.Error("the gate was not informed at once")
			}
		})
	})
}
