package node

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"citronledge.example/core/client"
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
)

// countedConn counts the bytes that the node writes.
type countedConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countedConn) Write(b []byte) (int, error) {
	c.n.Add(int64(len(b)))
	return c.Conn.Write(b)
}

type countedListener struct {
	net.Listener
	n *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l.n}, err
}

// BenchmarkForce measures one change over loopback sessions, from its
// acceptance until it is in force, by the number of receivers: time, bytes sent
// and processor time of both ends for each receiver. The consensus has one
// member in memory. Renewals during the measurement count too.
func BenchmarkForce(b *testing.B) {
	for _, receivers := range []int{10, 50, 200} {
		b.Run(fmt.Sprintf("receivers=%d", receivers), func(b *testing.B) { benchForce(b, receivers) })
	}
}

func benchForce(b *testing.B, receivers int) {
	m := NewMachine()
	cons := &singleMember{machine: m, elected: time.Now().Add(-time.Minute)}
	n, err := New(WithConsensus(cons), WithMachine(m), WithLink(link.Config{Name: "s1", Keys: processKeys}))
	if err != nil {
		b.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var sent atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { _ = n.Run(ctx, countedListener{ln, &sent}) })
	for range receivers {
		c, err := client.New(client.WithAddresses(ln.Addr().String()), client.WithLink(link.Config{Name: "gate", Keys: processKeys}))
		if err != nil {
			b.Fatal(err)
		}
		hold, stop := context.WithCancel(ctx)
		defer stop()
		wg.Go(func() {
			_ = c.HoldLease(hold)
			_ = c.Close()
		})
	}
	for tick := time.NewTicker(time.Millisecond); len(n.Status().GetHolders()) < receivers; {
		<-tick.C
	}
	bytes, cpu := sent.Load(), cpuTime()
	b.ResetTimer()
	for i := range b.N {
		value := fmt.Sprintf(`{"keys":["%064d"],"models":["small","large/v2"],"weight":%d}`, i, i%7)
		if _, err := n.propose(ctx, changeCommand(uint64(i+1), "customers/jhalmuri", value)); err != nil {
			b.Fatal(err)
		}
		if w, err := n.waitInForce(ctx, &wire.WaitQuery{Revision: n.ledger.Revision(), Timeout: 10_000}); err != nil || !w.GetDone() {
			b.Fatal(w, err)
		}
	}
	b.StopTimer()
	each := float64(b.N) * float64(receivers)
	b.ReportMetric(float64(sent.Load()-bytes)/each, "B/receiver")
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/each, "cpu-us/receiver")
}

// cpuTime returns the processor time used by this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
