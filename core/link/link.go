// Package link connects the processes of citronledge: authenticated yamux
// sessions whose streams carry length-prefixed protobuf messages.
//
// Either end of a session may open streams. A failed session or stream is
// closed; it is the caller's responsibility to reconnect.
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
	handshakeTimeout    = 3 * time.Second
	dialTimeout         = 2 * time.Second
	writeTimeout        = 5 * time.Second
	ackTimeout          = 2 * time.Second // for sent bytes to be acknowledged by the peer's kernel
	defaultKeepAlive    = 5 * time.Second
	nonceSize           = 32       // bytes
	readBufferSize      = 1 << 10  // bytes per stream; larger messages bypass the buffer
	maxMessageSize      = 64 << 20 // bytes; a snapshot is sent in smaller parts
	maxHandshakeMessage = 4 << 10  // bytes, before the peer is authenticated
)

// Config describes this end of a session.
type Config struct {
	// Name of this process.
	Name string
	// Keys that authenticate both ends.
	Keys *Keys
	// KeepAlive is the interval between two keepalive pings; 0 means 5 s. The
	// pings of both ends cost 24 bytes per interval in each direction.
	KeepAlive time.Duration
}

// Peer is the authenticated other end of a session.
type Peer struct {
	Name string
	// KeyName is the name of the key that the peer has proved to hold.
	KeyName string
	Role    Role
}

// Session is one authenticated connection with many streams.
type Session struct {
	mux  *yamux.Session
	name string
	peer Peer
}

// Dial connects to addr and authenticates both ends.
func Dial(ctx context.Context, addr string, cfg Config) (*Session, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: UserTimeoutControl(ackTimeout)}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "cannot connect to %s", addr)
	}
	return Client(conn, cfg)
}

// UserTimeoutControl returns a control function for net.Dialer that sets
// TCP_USER_TIMEOUT to d. The kernel then resets a connection whose sent bytes
// are not acknowledged within d, which detects a peer that disappeared without
// closing the connection.
func UserTimeoutControl(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d/time.Millisecond))
		})
		return errors.Join(err, optErr)
	}
}

// Client authenticates the dialling end over conn and takes ownership of conn.
func Client(conn net.Conn, cfg Config) (*Session, error) {
	peer, err := handshake(conn, func(r protodelim.Reader) (Peer, error) { return handshakeClient(conn, r, cfg) })
	if err != nil {
		return nil, err
	}
	mux, err := yamux.Client(newFrameJoiner(conn), muxConfig(cfg))
	if err != nil {
		return nil, closeWithError(conn, err)
	}
	return &Session{mux: mux, name: cfg.Name, peer: peer}, nil
}

// Server authenticates the accepting end over conn and takes ownership of conn.
func Server(conn net.Conn, cfg Config) (*Session, error) {
	peer, err := handshake(conn, func(r protodelim.Reader) (Peer, error) { return handshakeServer(conn, r, cfg) })
	if err != nil {
		return nil, err
	}
	mux, err := yamux.Server(newFrameJoiner(conn), muxConfig(cfg))
	if err != nil {
		return nil, closeWithError(conn, err)
	}
	return &Session{mux: mux, name: cfg.Name, peer: peer}, nil
}

func muxConfig(session Config) *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval = cmp.Or(session.KeepAlive, defaultKeepAlive)
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

func closeWithError(conn net.Conn, err error) error {
	_ = conn.Close()
	return err
}

// unbufferedReader reads single bytes without buffering, so that it consumes no
// byte of the yamux session that follows the handshake.
type unbufferedReader struct{ io.Reader }

func (b unbufferedReader) ReadByte() (byte, error) {
	var one [1]byte
	_, err := io.ReadFull(b.Reader, one[:])
	return one[0], err
}

func handshake(conn net.Conn, f func(protodelim.Reader) (Peer, error)) (Peer, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	peer, err := f(unbufferedReader{conn})
	if err != nil {
		return Peer{}, closeWithError(conn, eris.Wrap(err, "session handshake failed"))
	}
	_ = conn.SetDeadline(time.Time{})
	return peer, nil
}

func handshakeClient(w io.Writer, r protodelim.Reader, cfg Config) (Peer, error) {
	key := cfg.Keys.SigningKey()
	hello := &wire.Hello{Name: cfg.Name, Key: key.Name, Nonce: newNonce()}
	if err := writeMessage(w, hello); err != nil {
		return Peer{}, err
	}
	var challenge wire.Challenge
	if err := readMessage(r, &challenge, maxHandshakeMessage); err != nil {
		return Peer{}, err
	}
	if err := challenge.GetFault().Err(); err != nil {
		return Peer{}, err
	}
	want := key.proof([]byte("server"), hello.Nonce, challenge.Nonce, []byte(cfg.Name), []byte(challenge.Name))
	if !hmac.Equal(want, challenge.Proof) {
		return Peer{}, fault.New(fault.Unauthorized, "the accepting process does not hold key "+key.Name+"; compare the key files")
	}
	proof := key.proof([]byte("client"), hello.Nonce, challenge.Nonce, []byte(cfg.Name), []byte(challenge.Name))
	if err := writeMessage(w, &wire.Proof{Proof: proof}); err != nil {
		return Peer{}, err
	}
	var confirmation wire.Challenge
	if err := readMessage(r, &confirmation, maxHandshakeMessage); err != nil {
		return Peer{}, err
	}
	return Peer{Name: challenge.Name, KeyName: key.Name, Role: key.Role}, confirmation.GetFault().Err()
}

func handshakeServer(w io.Writer, r protodelim.Reader, cfg Config) (Peer, error) {
	var hello wire.Hello
	if err := readMessage(r, &hello, maxHandshakeMessage); err != nil {
		return Peer{}, err
	}
	key, ok := cfg.Keys.find(hello.Key)
	if !ok || len(hello.Nonce) != nonceSize {
		return Peer{}, sendRefusal(w, "unknown session key; add the key to the key file of "+cfg.Name)
	}
	challenge := &wire.Challenge{Name: cfg.Name, Nonce: newNonce()}
	challenge.Proof = key.proof([]byte("server"), hello.Nonce, challenge.Nonce, []byte(hello.Name), []byte(cfg.Name))
	if err := writeMessage(w, challenge); err != nil {
		return Peer{}, err
	}
	var proof wire.Proof
	if err := readMessage(r, &proof, maxHandshakeMessage); err != nil {
		return Peer{}, err
	}
	want := key.proof([]byte("client"), hello.Nonce, challenge.Nonce, []byte(hello.Name), []byte(cfg.Name))
	if !hmac.Equal(want, proof.Proof) {
		return Peer{}, sendRefusal(w, "session key does not match; compare the key files")
	}
	return Peer{Name: hello.Name, KeyName: key.Name, Role: key.Role}, writeMessage(w, &wire.Challenge{})
}

func sendRefusal(w io.Writer, message string) error {
	f := fault.New(fault.Unauthorized, message)
	if err := writeMessage(w, &wire.Challenge{Fault: wire.NewFault(f)}); err != nil {
		return err
	}
	return f
}

func newNonce() []byte {
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
// write as the Open message. If it returns both a stream and an error, the peer
// may have received the message. The end of ctx cancels the write but does not
// close the stream.
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

// Accept waits for the next stream that the peer opens. It closes streams of
// kinds that the peer's role does not allow.
func (s *Session) Accept() (*Stream, error) {
	for {
		raw, err := s.mux.AcceptStream()
		if err != nil {
			return nil, err
		}
		st := newStream(raw, wire.Kind_NONE, s.peer)
		var open wire.Open
		if err := st.recv(&open, maxHandshakeMessage); err != nil || !s.peer.Role.mayOpen(open.Kind) {
			_ = st.Close()
			continue
		}
		st.kind = open.Kind
		return st, nil
	}
}

func (r Role) mayOpen(kind wire.Kind) bool {
	switch kind {
	case wire.Kind_COMMAND, wire.Kind_QUERY:
		return true
	}
	return r == RoleProcess
}

// Stream carries messages in both directions. Send is safe for concurrent use;
// Recv must be called from one goroutine only.
type Stream struct {
	raw    *yamux.Stream
	reader *bufio.Reader
	kind   wire.Kind
	peer   Peer

	mu  sync.Mutex // guards buf and the order of writes
	buf []byte
}

func newStream(raw *yamux.Stream, kind wire.Kind, peer Peer) *Stream {
	return &Stream{raw: raw, reader: bufio.NewReaderSize(raw, readBufferSize), kind: kind, peer: peer}
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
	// A single write puts the length and the message into one yamux frame.
	_, err = s.raw.Write(s.buf)
	return err
}

// Recv reads the next message into m. It returns io.EOF if the peer closed the
// stream between two messages.
func (s *Stream) Recv(m proto.Message) error { return s.recv(m, maxMessageSize) }

func (s *Stream) recv(m proto.Message, limit int64) error { return readMessage(s.reader, m, limit) }

// SetDeadline sets the deadline of pending and future calls of Send and Recv.
func (s *Stream) SetDeadline(t time.Time) error { return s.raw.SetDeadline(t) }

// Close closes this end for writing and releases the stream.
func (s *Stream) Close() error { return s.raw.Close() }

func appendMessage(buf []byte, m proto.Message) ([]byte, error) {
	buf = protowire.AppendVarint(buf, uint64(proto.Size(m)))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, m)
}

func writeMessage(w io.Writer, m proto.Message) error {
	buf, err := appendMessage(nil, m)
	if err != nil {
		return err
	}
	_, err = w.Write(buf)
	return err
}

func readMessage(r protodelim.Reader, m proto.Message, limit int64) error {
	return protodelim.UnmarshalOptions{MaxSize: limit}.UnmarshalFrom(r, m)
}
