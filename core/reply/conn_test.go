package reply_test

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"citronledge.example/core/reply"
)

// endedConn is a connection whose reads find its end and whose write, which waits
// until its deadline is set, fails with writeErr.
type endedConn struct {
	net.Conn

	writeErr error
	began    chan struct{} // closed when the write begins
	expire   sync.Once
	expired  chan struct{} // closed when the write deadline has passed
}

func newEndedConn(writeErr error) *endedConn {
	return &endedConn{writeErr: writeErr, began: make(chan struct{}), expired: make(chan struct{})}
}

func (c *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endedConn) Write(b []byte) (int, error) {
	close(c.began)
	<-c.expired
	if c.writeErr == nil {
		return len(b), nil
	}
	return 0, &net.OpError{Op: "write", Err: c.writeErr}
}

func (c *endedConn) SetWriteDeadline(t time.Time) error {
	if t.Before(time.Now()) {
		c.expire.Do(func() { close(c.expired) })
	}
	return nil
}

// A read must not report an orderly end of a connection whose loss only a write
// has been told of, even if that write has not returned yet.
func TestEndAfterWrite(t *testing.T) {
	for name, x := range map[string]struct{ writeErr, want error }{
		"reset":                {os.NewSyscallError("write", syscall.ECONNRESET), syscall.ECONNRESET},
		"unacknowledged":       {os.NewSyscallError("write", syscall.ETIMEDOUT), syscall.ETIMEDOUT},
		"reset after its end":  {os.NewSyscallError("write", syscall.EPIPE), io.EOF},
		"still being written":  {os.ErrDeadlineExceeded, io.EOF},
		"closed at this end":   {net.ErrClosed, io.EOF},
		"written successfully": {nil, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			raw := newEndedConn(x.writeErr)
			c := reply.NewConn(raw)
			var wait sync.WaitGroup
			wait.Go(func() { _ = c.WriteBuffers(net.Buffers{[]byte("request")}) })
			<-raw.began
			if _, got := c.Read(make([]byte, 1)); !errors.Is(got, x.want) {
				t.Errorf("got error %v of the read, want %v", got, x.want)
			}
			wait.Wait()
		})
	}
}
