package conn_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"citronledge.example/gate/conn"
	"citronledge.example/stub/runner"
)

// refusingConn is a connection whose writes send only the bytes that are left.
type refusingConn struct {
	net.Conn
	left *atomic.Int64
}

func (c refusingConn) Write(b []byte) (int, error) {
	n := int(min(c.left.Load(), int64(len(b))))
	c.left.Add(int64(-n))
	if n > 0 {
		if m, err := c.Conn.Write(b[:n]); err != nil {
			return m, err
		}
	}
	if n < len(b) {
		_ = c.Close()
		return n, syscall.EPIPE
	}
	return n, nil
}

// TestNothingSent guards against a request of which no server got a byte and that
// still counts as sent: its caller gets a failure in place of another try or a
// refusal. One byte is enough for it to count.
func TestNothingSent(t *testing.T) {
	long := []byte(strings.Repeat("x", 64<<10)) // written beside the read of the answer
	for name, x := range map[string]struct {
		body   []byte
		reused bool
		left   int64 // bytes that the connection still sends
		sent   bool
	}{
		"new connection":            {},
		"reused connection":         {reused: true},
		"new connection, long":      {body: long},
		"reused connection, long":   {body: long, reused: true},
		"one byte":                  {left: 1, sent: true},
		"one byte, reused":          {reused: true, left: 1, sent: true},
		"one byte, long":            {body: long, left: 1, sent: true},
		"all but a byte of a body":  {body: long, left: 64 << 10, sent: true},
		"one byte, long and reused": {body: long, reused: true, left: 1, sent: true},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := runner.Start(runner.OK("ok"))
			if err != nil {
				t.Fatal(err)
			}
			defer r.Close()
			var left atomic.Int64
			p := conn.New(r.Addr(), conn.WithDialer(func(ctx context.Context, addr string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
				return refusingConn{c, &left}, err
			}))
			defer p.Close()
			if x.reused {
				left.Store(1 << 10)
				do(t, p, request("1"))
			}
			left.Store(x.left)
			q := request("2")
			if x.body != nil {
				q.Body = x.body
			}
			_, err = p.Do(t.Context(), q)
			if got := !errors.As(err, &conn.NotSentError{}); err == nil || got != x.sent {
				t.Errorf("got %v, want an error of a request that was sent: %v", err, x.sent)
			}
		})
	}
}
