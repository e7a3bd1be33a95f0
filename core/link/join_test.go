package link

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"google.golang.org/protobuf/proto"

	"citronledge.example/core/bubble"
	"citronledge.example/core/wire"
)

type writeCounter struct {
	net.Conn
	writes atomic.Int64
}

func (c *writeCounter) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// Each message must take one write, and messages of all sizes must arrive
// complete. A header that is held back by mistake would stall the session.
func TestFrameInOneWrite(t *testing.T) { bubble.Test(t, testFrameInOneWrite) }

func testFrameInOneWrite(t *testing.T) {
	near, far := net.Pipe()
	count := &writeCounter{Conn: near}
	k := newTestKeys(t, "k1:process")
	var b *Session
	done := make(chan error, 1)
	go func() {
		var err error
		b, err = Server(far, Config{Name: "server", Keys: k})
		done <- err
	}()
	a, err := Client(count, Config{Name: "client", Keys: k})
	if err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	defer func() { _, _ = a.Close(), b.Close() }()
	sizes := []int{1, 10, headerSize, 1000, maxJoinedBody, maxJoinedBody + 1, 100_000, 5}
	go func() {
		st, err := a.Open(wire.Kind_WORK)
		for _, n := range sizes {
			if err == nil {
				err = st.Send(&wire.Chunk{Data: bytes.Repeat([]byte{0, 0, 0, 1}, n)[:n]})
			}
		}
		done <- err
	}()
	st, err := b.Accept()
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range sizes {
		var got wire.Chunk
		if err := st.Recv(&got); err != nil {
			t.Fatal(err)
		}
		want := &wire.Chunk{Data: bytes.Repeat([]byte{0, 0, 0, 1}, n)[:n]}
		if !proto.Equal(&got, want) {
			t.Fatalf("got %d bytes, want the %d that were sent", len(got.GetData()), n)
		}
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	before := count.writes.Load()
	s, err := a.Open(wire.Kind_WORK) // a window update and the first message
	if err != nil {
		t.Fatal(err)
	}
	for range 10 {
		if err := s.Send(&wire.Chunk{Data: []byte("token")}); err != nil {
			t.Fatal(err)
		}
	}
	if got := count.writes.Load() - before; got != 12 {
		t.Errorf("got %d writes for a new stream and 10 messages, want 12", got)
	}
}

// A write error of the connection must reach yamux for the header and the body
// alike.
func TestFrameWriteError(t *testing.T) {
	near, far := net.Pipe()
	_ = far.Close()
	j := newFrameJoiner(near)
	if _, err := j.Write([]byte{0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 5}); err != nil {
		t.Fatal(err)
	}
	if n, err := j.Write([]byte("token")); err != io.ErrClosedPipe || n != 0 {
		t.Errorf("got %d, %v; want 0, %v", n, err, io.ErrClosedPipe)
	}
}
