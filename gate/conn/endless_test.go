package conn_test

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"citronledge.example/gate/conn"
	"citronledge.example/stub/runner"
)

// endless answers with a head and then with a block of bytes again and again,
// until the gate closes the connection.
func endless(head, block string) runner.Reply {
	// io.WriteString would leave a copy of the block as garbage for each write.
	repeated := []byte(strings.Repeat(block, 1+(4<<10)/len(block)))
	return func(c net.Conn, _ *runner.Request) bool {
		_, err := io.WriteString(c, head)
		for err == nil {
			_, err = c.Write(repeated)
		}
		return false
	}
}

// endlessHeads are the ways in which a head, or what comes before it, may have
// no end.
var endlessHeads = map[string]runner.Reply{
	"status line":     endless("HTTP/1.1 200 ", "x"),
	"header line":     endless("HTTP/1.1 200 OK\r\nA: ", "x"),
	"header name":     endless("HTTP/1.1 200 OK\r\n", "x"),
	"header lines":    endless("HTTP/1.1 200 OK\r\n", "A: x\r\n"),
	"interim answers": endless("", "HTTP/1.1 102 Processing\r\n\r\n"),
	"foreign answers": endless("", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
	"foreign body":    endless("HTTP/1.1 200 OK\r\n\r\n", "x"),
	"foreign chunks":  endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
	"chunk extension": endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"),
}

// countedConn counts the bytes that are read from a connection.
type countedConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

// A server that sends a head without end must be given up after a bounded
// number of bytes, long before the deadline, and its connection be closed.
func TestEndlessHeads(t *testing.T) {
	const (
		maxRead = 2 << 20 // bytes
		limit   = 20 * time.Second
	)
	for name, reply := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			b, err := runner.Start(reply)
			if err != nil {
				t.Fatal(err)
			}
			defer b.Close()
			var read atomic.Int64
			p := conn.New(b.Addr(), conn.WithDialer(func(ctx context.Context, addr string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
				return countedConn{c, &read}, err
			}))
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			_, err = p.Do(ctx, request("1"))
			var unanswered conn.UnansweredError
			if !errors.As(err, &unanswered) || ctx.Err() != nil {
				t.Errorf("got error %v before the deadline, want an UnansweredError", err)
			}
			if got := read.Load(); got > maxRead {
				t.Errorf("read %d bytes, want at most %d", got, maxRead)
			}
			waitClosed(t, b, 0)
		})
	}
}

// The error of an endless head names the server and the limit, for the
// operator who has to find the server.
func TestOversizeError(t *testing.T) {
	for name, want := range map[string]string{"header line": "a head", "interim answers": "interim answers"} {
		t.Run(name, func(t *testing.T) {
			b, p := start(t, endlessHeads[name])
			_, err := p.Do(t.Context(), request("1"))
			var oversize conn.OversizeError
			if !errors.As(err, &oversize) || oversize.Part != want || oversize.Addr != b.Addr() || oversize.Limit <= 0 {
				t.Errorf("got %v, want an OversizeError of %s about %s", err, b.Addr(), want)
			}
		})
	}
}

// Four servers that send without end must not take more than 10 MB of the
// memory of a gate, which has little over 100 MB. Memory is measured after a
// collection each time, since the share of garbage depends on the processor
// time that the collector gets.
func TestEndlessMemory(t *testing.T) {
	const (
		maxGrowth = 10 << 20 // bytes
		requests  = 20       // to each server
		limit     = 10 * time.Second
	)
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	before := liveHeap()
	var wait sync.WaitGroup
	for _, name := range []string{"status line", "header line", "header lines", "interim answers"} {
		_, p := start(t, endlessHeads[name])
		wait.Go(func() {
			for range requests {
				if _, err := p.Do(ctx, request("1")); err == nil {
					t.Errorf("%s: got an answer", name)
				}
			}
		})
	}
	done := make(chan struct{})
	go func() { wait.Wait(); close(done) }()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	peak := before
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-tick.C:
		}
		peak = max(peak, liveHeap())
	}
	t.Logf("live heap: %d KB before, at most %d KB", before>>10, peak>>10)
	if peak > before+maxGrowth {
		t.Errorf("live heap grew by %d bytes, want at most %d", peak-before, maxGrowth)
	}
}

// liveHeap returns the bytes of the heap that are reachable, and a little of
// what has been allocated since the collection.
func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
