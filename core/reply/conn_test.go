package reply_test

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"citronledge.example/core/reply"
)

// endedConn is a connection whose reads find part, and then the end. Its write
// fails with writeErr, if that is not nil, after a second.
type endedConn struct {
	net.Conn

	part     string
	writeErr error
}

func (c *endedConn) Read(b []byte) (int, error) {
	if c.part == "" {
		return 0, io.EOF
	}
	n := copy(b, c.part)
	c.part = c.part[n:]
	return n, nil
}

func (c *endedConn) Write(b []byte) (int, error) {
	time.Sleep(time.Second)
	if c.writeErr != nil {
		return 0, &net.OpError{Op: "write", Err: c.writeErr}
	}
	return len(b), nil
}

func (c *endedConn) Close() error { return nil }

// An answer must not end in order while its request is still being written, nor if
// that fails.
func TestEndDuringWrite(t *testing.T) {
	const begun = "HTTP/1.1 200 OK\r\n"
	for name, x := range map[string]struct {
		part           string
		writeErr, want error
		wait           time.Duration
		closed         bool // by this end, before the write has ended
	}{
		"written":               {part: begun, want: io.EOF, wait: time.Second},
		"reset":                 {part: begun, writeErr: syscall.ECONNRESET, want: syscall.ECONNRESET, wait: time.Second},
		"end, then reset":       {part: begun, writeErr: syscall.EPIPE, want: syscall.EPIPE, wait: time.Second},
		"closed":                {part: begun, want: net.ErrClosed, closed: true},
		"before an answer":      {want: io.EOF},
		"reset before answered": {writeErr: syscall.ECONNRESET, want: io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := reply.NewConn(&endedConn{part: x.part, writeErr: x.writeErr})
				c.BeginRequest()
				go func() {
					_, _ = c.WriteBuffers(net.Buffers{[]byte("request")})
					c.EndRequest()
				}()
				synctest.Wait()
				if x.closed {
					_ = c.Close()
				}
				start := time.Now()
				got, err := io.ReadAll(io.LimitReader(c, 100))
				if err == nil {
					err = io.EOF
				}
				took := time.Since(start)
				time.Sleep(time.Second) // ends the write
				if string(got) != x.part || !errors.Is(err, x.want) || took != x.wait {
					t.Errorf("got %q, %v after %v, want %q, %v after %v", got, err, took, x.part, x.want, x.wait)
				}
			})
		})
	}
}

// The verdict on a head must not depend on how it is split into reads.
func TestHeadInParts(t *testing.T) {
	for name, x := range map[string]struct {
		answer string
		broken bool
	}{
		"sound":             {"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nA: 1\r\n\r\n \x00\n body", false},
		"bare line feeds":   {"HTTP/1.0 404\nA: 1\n\n\r\n", false},
		"status 000":        {"HTTP/1.1 000 OK\r\n", true},
		"four digits":       {"HTTP/1.1 2000 OK\r\n", true},
		"HTTP/2":            {"HTTP/2.0 200 OK\r\n", true},
		"after an interim":  {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA B: 1\r\n", true},
		"blank after name":  {"HTTP/1.1 200 OK\r\nA : 1\r\n", true},
		"blank before name": {"HTTP/1.1 200 OK\r\nA: 1\r\n B: 1\r\n", true},
		"line feed":         {"HTTP/1.1 200 OK\r\nA: 1\r\n\nB: 1\r\n", true},
		"carriage return":   {"HTTP/1.1 200 OK\r\nA: 1\r\n\rB: 1\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{1, 2, 7, 1000} {
				c := reply.NewConn(&endedConn{part: x.answer})
				c.BeginRequest()
				c.EndRequest()
				var got []byte
				var err error
				for err == nil {
					b := make([]byte, size)
					var n int
					n, err = c.Read(b)
					got = append(got, b[:n]...)
				}
				var head reply.HeadError
				if broken := errors.As(err, &head); broken != x.broken || !broken && string(got) != x.answer || !strings.HasPrefix(x.answer, string(got)) {
					t.Errorf("reads of %d bytes: got %q, %v", size, got, err)
				}
				if _, again := c.Read(make([]byte, 1)); x.broken && !errors.Is(again, err) {
					t.Errorf("got %v after %v", again, err)
				}
			}
		})
	}
}
