// Package link connects the processes of citronledge: authenticated yamux
// sessions whose streams carry length-prefixed protobuf messages.
//
// Either end of a session may open streams. A session or stream that fails
// is closed; reconnecting is the caller's work.
package link

import (
	"bufio"
	"cmp"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"citronledge.example/core/fault"
	"citronledge.example/core/wire"
)

const (
	handshakeTime = 3 * time.Second
	dialTime      = 2 * time.Second
	writeTime     = 5 * time.Second
	silentTime    = 2 * time.Second // for bytes without an acknowledgement
	keepAlive     = 5 * time.Second
	nonceSize     = 32       // bytes
	bufferSize    = 1 << 10  // bytes, read buffer of a stream; larger messages bypass it
	maxMessage    = 64 << 20 // bytes; a snapshot is sent in smaller parts
	maxHello      = 4 << 10  // bytes, before the peer is authenticated
)

// Config describes this end of a session.
type Config struct {
	// Name of this process.
	Name string
	// Keys that authenticate both ends.
	Keys *Keys
	// KeepAlive is the interval between two checks of the connection; 0 takes
	// the default, 5 s. Each end pays 24 bytes for one in either direction.
	KeepAlive time.Duration
}

// Peer is the authenticated other end of a session.
type Peer struct {
	Name string
	// KeyName is the name of the key that the peer proved to hold.
	KeyName string
	Role    Role
}

// Session is one authenticated connection with many streams.
type Session struct {
	mux  *yamux.Session
	name string
	peer Peer
}

// Dial connects to an address and authenticates both ends.
func Dial(ctx context.Context, addr string, cfg Config) (*Session, error) {
	d := net.Dialer{Timeout: dialTime, Control: UserTimeoutControl(silentTime)}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "cannot connect to %s", addr)
	}
	return Client(conn, cfg)
}

// UserTimeoutControl returns a control function for net.Dialer. The kernel then resets
// a connection whose bytes are not acknowledged for d: its other end may be gone
// without a word.
func UserTimeoutControl(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d/time.Millisecond))
		})
		return errors.Join(err, failed)
	}
}

// Client authenticates the dialling end over conn, which it owns from then on.
func Client(conn net.Conn, cfg Config) (*Session, error) {
	peer, err := shake(conn, func(r protodelim.Reader) (Peer, error) { return greet(conn, r, cfg) })
	if err != nil {
		return nil, err
	}
	mux, err := yamux.Client(newJoiner(conn), muxConfig(cfg))
	if err != nil {
		return nil, closeAfter(conn, err)
	}
	return &Session{mux: mux, name: cfg.Name, peer: peer}, nil
}

// Server authenticates the accepting end over conn, which it owns from then on.
func Server(conn net.Conn, cfg Config) (*Session, error) {
	peer, err := shake(conn, func(r protodelim.Reader) (Peer, error) { return welcome(conn, r, cfg) })
	if err != nil {
		return nil, err
	}
	mux, err := yamux.Server(newJoiner(conn), muxConfig(cfg))
	if err != nil {
		return nil, closeAfter(conn, err)
	}
	return &Session{mux: mux, name: cfg.Name, peer: peer}, nil
}

func muxConfig(set Config) *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval = cmp.Or(set.KeepAlive, keepAlive)
	cfg.ConnectionWriteTimeout = writeTime
	cfg.LogOutput = io.Discard
	return cfg
}

func closeAfter(conn net.Conn, err error) error {
	_ = conn.Close()
	return err
}

// byteReader reads single bytes without buffering, so that no byte of the
// yamux session that follows the handshake is consumed.
type byteReader struct{ io.Reader }

func (b byteReader) ReadByte() (byte, error) {
	var one [1]byte
	_, err := io.ReadFull(b.Reader, one[:])
	return one[0], err
}

func shake(conn net.Conn, f func(protodelim.Reader) (Peer, error)) (Peer, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTime))
	peer, err := f(byteReader{conn})
	if err != nil {
		return Peer{}, closeAfter(conn, eris.Wrap(err, "session handshake failed"))
	}
	_ = conn.SetDeadline(time.Time{})
	return peer, nil
}

func greet(w io.Writer, r protodelim.Reader, cfg Config) (Peer, error) {
	key := cfg.Keys.SigningKey()
	hello := &wire.Hello{Name: cfg.Name, Key: key.Name, Nonce: nonce()}
	if err := write(w, hello); err != nil {
		return Peer{}, err
	}
	var c wire.Challenge
	if err := read(r, &c, maxHello); err != nil {
		return Peer{}, err
	}
	if err := c.GetFault().Err(); err != nil {
		return Peer{}, err
	}
	want := key.proof([]byte("server"), hello.Nonce, c.Nonce, []byte(cfg.Name), []byte(c.Name))
	if !hmac.Equal(want, c.Proof) {
		return Peer{}, fault.New(fault.Unauthorized, "the accepting process does not hold key "+key.Name+"; compare the key files")
	}
	proof := key.proof([]byte("client"), hello.Nonce, c.Nonce, []byte(cfg.Name), []byte(c.Name))
	if err := write(w, &wire.Proof{Proof: proof}); err != nil {
		return Peer{}, err
	}
	var done wire.Challenge
	if err := read(r, &done, maxHello); err != nil {
		return Peer{}, err
	}
	return Peer{Name: c.Name, KeyName: key.Name, Role: key.Role}, done.GetFault().Err()
}

func welcome(w io.Writer, r protodelim.Reader, cfg Config) (Peer, error) {
	var hello wire.Hello
	if err := read(r, &hello, maxHello); err != nil {
		return Peer{}, err
	}
	key, ok := cfg.Keys.find(hello.Key)
	if !ok || len(hello.Nonce) != nonceSize {
		return Peer{}, refuse(w, "unknown session key; add the key to the key file of "+cfg.Name)
	}
	c := &wire.Challenge{Name: cfg.Name, Nonce: nonce()}
	c.Proof = key.proof([]byte("server"), hello.Nonce, c.Nonce, []byte(hello.Name), []byte(cfg.Name))
	if err := write(w, c); err != nil {
		return Peer{}, err
	}
	var p wire.Proof
	if err := read(r, &p, maxHello); err != nil {
		return Peer{}, err
	}
	want := key.proof([]byte("client"), hello.Nonce, c.Nonce, []byte(hello.Name), []byte(cfg.Name))
	if !hmac.Equal(want, p.Proof) {
		return Peer{}, refuse(w, "session key does not match; compare the key files")
	}
	return Peer{Name: hello.Name, KeyName: key.Name, Role: key.Role}, write(w, &wire.Challenge{})
}

func refuse(w io.Writer, message string) error {
	f := fault.New(fault.Unauthorized, message)
	if err := write(w, &wire.Challenge{Fault: wire.NewFault(f)}); err != nil {
		return err
	}
	return f
}

func nonce() []byte {
	b := make([]byte, nonceSize)
	_, _ = rand.Read(b) // never fails
	return b
}

// Peer returns the authenticated other end.
func (s *Session) Peer() Peer { return s.peer }

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.mux.CloseChan() }

// Close ends the session and all its streams.
func (s *Session) Close() error { return s.mux.Close() }

// Open opens a stream of a kind.
func (s *Session) Open(kind wire.Kind) (*Stream, error) {
	raw, err := s.mux.OpenStream()
	if err != nil {
		return nil, eris.Wrap(err, "cannot open a stream")
	}
	st := newStream(raw, kind, s.peer)
	if err := st.Send(&wire.Open{Kind: kind, Name: s.name}); err != nil {
		_ = st.Close()
		return nil, err
	}
	return st, nil
}

// OpenWith opens a stream of a kind and sends the first message in the same
// write, which spares a round through the session. If it returns a stream
// together with an error, the peer may have got the message. The end of ctx
// ends the write, not the stream.
func (s *Session) OpenWith(ctx context.Context, kind wire.Kind, m proto.Message) (*Stream, error) {
	raw, err := s.mux.OpenStream()
	if err != nil {
		return nil, eris.Wrap(err, "cannot open a stream")
	}
	st := newStream(raw, kind, s.peer)
	st.buf, err = appendMessage(st.buf[:0], &wire.Open{Kind: kind, Name: s.name})
	if err == nil {
		st.buf, err = appendMessage(st.buf, m)
	}
	if err != nil {
		_ = st.Close()
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.SetWriteDeadline(time.Now()) })
	defer stop()
	_, err = raw.Write(st.buf)
	return st, err
}

// Accept waits for the next stream that the peer opens. A peer whose role
// does not allow the kind of stream is refused by closing the stream.
func (s *Session) Accept() (*Stream, error) {
	for {
		raw, err := s.mux.AcceptStream()
		if err != nil {
			return nil, err
		}
		st := newStream(raw, wire.Kind_NONE, s.peer)
		var open wire.Open
		if err := st.recv(&open, maxHello); err != nil || !s.peer.Role.may(open.Kind) {
			_ = st.Close()
			continue
		}
		st.kind = open.Kind
		return st, nil
	}
}

func (r Role) may(kind wire.Kind) bool {
	switch kind {
	case wire.Kind_COMMAND, wire.Kind_QUERY:
		return true
	}
	return r == RoleProcess
}

// Stream carries messages in both directions. Send is safe for concurrent
// use, Recv is for one goroutine.
type Stream struct {
	raw  *yamux.Stream
	r    *bufio.Reader
	kind wire.Kind
	peer Peer

	mu  sync.Mutex // guards buf and the order of writes
	buf []byte
}

func newStream(raw *yamux.Stream, kind wire.Kind, peer Peer) *Stream {
	return &Stream{raw: raw, r: bufio.NewReaderSize(raw, bufferSize), kind: kind, peer: peer}
}

// Kind returns the kind that the opening end declared.
func (s *Stream) Kind() wire.Kind { return s.kind }

// Peer returns the authenticated other end.
func (s *Stream) Peer() Peer { return s.peer }

// Send writes one message.
func (s *Stream) Send(m proto.Message) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var err error
	s.buf, err = appendMessage(s.buf[:0], m)
	if err != nil {
		return err
	}
	// One write keeps the length and the message in one yamux frame.
	_, err = s.raw.Write(s.buf)
	return err
}

// Recv reads the next message into m. It returns io.EOF when the peer has
// closed the stream between two messages.
func (s *Stream) Recv(m proto.Message) error { return s.recv(m, maxMessage) }

func (s *Stream) recv(m proto.Message, limit int64) error { return read(s.r, m, limit) }

// SetDeadline bounds the pending and later calls of Send and Recv.
func (s *Stream) SetDeadline(t time.Time) error { return s.raw.SetDeadline(t) }

// Close closes this end for writing and gives up the stream.
func (s *Stream) Close() error { return s.raw.Close() }

func appendMessage(buf []byte, m proto.Message) ([]byte, error) {
	buf = protowire.AppendVarint(buf, uint64(proto.Size(m)))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, m)
}

func write(w io.Writer, m proto.Message) error {
	buf, err := appendMessage(nil, m)
	if err != nil {
		return err
	}
	_, err = w.Write(buf)
	return err
}

func read(r protodelim.Reader, m proto.Message, limit int64) error {
	return protodelim.UnmarshalOptions{MaxSize: limit}.UnmarshalFrom(r, m)
}
