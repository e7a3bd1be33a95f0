package conn

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// errSilent ends an exchange that was given up because of the server's silence.
var errSilent = errors.New("silent for too long")

// recheckDivisor is the part of the limit after which the silence is judged again if the
// gate had not read what had arrived.
const recheckDivisor = 10

// Silence ends an exchange whose server is silent for longer than a limit, if the
// caller then gives it up. It alone decides whether an answer or the timeout came first:
// once Stop has reported that the exchange goes on, nothing ends it any more. The methods
// of a nil Silence do nothing. It is safe for concurrent use.
type Silence struct {
	limit   time.Duration
	giveUp  func() bool
	abandon func()

	mu      sync.Mutex
	timer   *time.Timer
	heardAt time.Time
	unread  func() bool // whether something has arrived; nil until there is a connection
	stopped bool
	gaveUp  bool
}

// NewSilence starts to wait. After limit without a call of Heard, giveUp decides whether
// the exchange ends, and abandon ends it; unless something has arrived that the gate has
// yet to read, as one that is busy does late. If giveUp refuses, the silence is borne until the next call of Heard. Neither may
// call methods of the Silence.
func NewSilence(limit time.Duration, giveUp func() bool, abandon func()) *Silence {
	s := &Silence{limit: limit, giveUp: giveUp, abandon: abandon, heardAt: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(limit, s.expire)
	return s
}

// WatchSilence is NewSilence for the rest of the answer. While nothing reads it, as its
// receiver is slow, the server is not silent.
func (a *Answer) WatchSilence(limit time.Duration, giveUp func() bool, abandon func()) *Silence {
	pc := a.conn
	s := NewSilence(limit, giveUp, abandon)
	s.watch(func() bool { return !a.reading.Load() || pc.hasUnread() })
	return s
}

func (s *Silence) watch(unread func() bool) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unread = unread
}

func (s *Silence) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.gaveUp {
		return
	}
	// The timer may have fired before Heard reset it.
	if left := s.limit - time.Since(s.heardAt); left > 0 {
		s.timer.Reset(left)
		return
	}
	if s.unread != nil && s.unread() {
		s.timer.Reset(s.limit / recheckDivisor)
		return
	}
	if s.giveUp() {
		s.gaveUp = true
		s.abandon()
	}
}

// Heard records that the answer has made progress.
func (s *Silence) Heard() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.gaveUp {
		return
	}
	s.heardAt = time.Now()
	s.timer.Reset(s.limit)
}

// Stop ends the wait, and reports whether the exchange was given up.
func (s *Silence) Stop() (gaveUp bool) {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
	return s.gaveUp
}

// hasUnread reports whether bytes, or the end of the connection, have arrived and were
// not read.
func (pc *pooledConn) hasUnread() bool {
	_, err := pc.peek()
	return err == nil
}

// peek looks for bytes that have arrived without reading them. It returns EAGAIN if
// there are none, and 0 at the end of the connection.
func (pc *pooledConn) peek() (n int, err error) {
	sc, ok := pc.NetConn().(syscall.Conn)
	if !ok {
		return 0, unix.EAGAIN
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peeked error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peeked = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n, errors.Join(err, peeked)
}
