package soak

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"citronledge.example/stub/runner"
	"citronledge.example/stub/users"
)

const (
	streamEvents = 12
	eventPause   = 25 * time.Millisecond
	workTime     = 4 * time.Millisecond
)

// manner is how a backend server answers.
type manner int

const (
	sound manner = iota
	failing
	slow
	full
	cutting    // breaks off in the middle of an answer
	answerless // runs a request and closes without an answer
	manners
)

// backends are the stand-ins of backend servers, behind proxies, and the
// platform's list of them.
type backends struct {
	recorder *recorder
	list     net.Listener
	srv      *http.Server

	mu      sync.Mutex
	servers []*backend
	next    int
	// failed is how long the list has answered with failures before since,
	// which is the start of the failure that goes on, or zero.
	failed time.Duration
	since  time.Time
	// resumed is when a gate went on last after a pause.
	resumed time.Time
}

type backend struct {
	id     string
	runner *runner.Backend
	proxy  *proxy

	mu      sync.Mutex
	manner  manner
	leaving time.Time     // since when the list shows it; zero while it stays
	before  time.Duration // for which the list had failed by then
	gone    bool          // not in the list
}

func (b *backend) set(m manner) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.manner = m
}

const (
	// leftBy is how long a server may still get requests after the list shows
	// that it leaves. The time does not run while the list fails.
	leftBy = 3 * time.Second
	// contactTime is how long nothing is expected of a gate that was paused.
	contactTime = 3 * time.Second
)

func newBackends(b *recorder) (*backends, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &backends{recorder: b, list: ln}
	s.srv = &http.Server{Handler: http.HandlerFunc(s.answerList), ReadHeaderTimeout: time.Second}
	go func() { _ = s.srv.Serve(ln) }() // ends with close
	return s, nil
}

func (s *backends) close() {
	_ = s.srv.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.servers {
		b.runner.Close()
		b.proxy.close()
	}
}

// add starts a server and lists it.
func (s *backends) add() error {
	r, err := runner.Start(runner.NeverReply)
	if err != nil {
		return err
	}
	p, err := newProxy("127.0.0.1:0", r.Addr())
	if err != nil {
		r.Close()
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	b := &backend{id: fmt.Sprintf("i-%d", s.next), runner: r, proxy: p}
	r.SetReply(func(c net.Conn, q *runner.Request) bool { return s.reply(b, c, q) })
	s.servers = append(s.servers, b)
	return nil
}

// all returns the listed servers that stay.
func (s *backends) all() []*backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*backend
	for _, b := range s.servers {
		b.mu.Lock()
		if b.leaving.IsZero() {
			list = append(list, b)
		}
		b.mu.Unlock()
	}
	return list
}

// leave shows the server as leaving, and takes it off the list later.
func (s *backends) leave(b *backend, after time.Duration) {
	failed := s.failing()
	b.mu.Lock()
	b.leaving, b.before = time.Now(), failed
	b.mu.Unlock()
	time.AfterFunc(after, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.gone = true
	})
}

// failing returns how long the list has failed in this run.
func (s *backends) failing() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() {
		return s.failed
	}
	return s.failed + time.Since(s.since)
}

// setBroken makes the list fail.
func (s *backends) setBroken(broken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case broken && s.since.IsZero():
		s.since = time.Now()
	case !broken && !s.since.IsZero():
		s.failed += time.Since(s.since)
		s.since = time.Time{}
	}
}

// resume notes that a gate goes on after a pause.
func (s *backends) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumed = time.Now()
}

// overdue tells whether a server should get no requests any more.
func (s *backends) overdue(b *backend) bool {
	failed := s.failing()
	b.mu.Lock()
	leaving, before := b.leaving, b.before
	b.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return !leaving.IsZero() && time.Since(leaving)-(failed-before) > leftBy && time.Since(s.resumed) > contactTime
}

func (s *backends) answerList(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.since.IsZero() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var list []users.ListedBackend
	for _, b := range s.servers {
		b.mu.Lock()
		if !b.gone {
			list = append(list, users.ListedBackend{ID: b.id, Service: service, Address: b.proxy.ln.Addr().String(), Leaving: !b.leaving.IsZero()})
		}
		b.mu.Unlock()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = users.WriteList(w, list) // the reader may be gone
}

// wantBody is the answer to a request that is no stream.
func wantBody(path, id string, content []byte) string {
	sum := sha256.Sum256(content)
	return fmt.Sprintf("%s %s %s", path, id, hex.EncodeToString(sum[:8]))
}

// wantEvent is one event of the answer to a stream.
func wantEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

func (s *backends) reply(b *backend, c net.Conn, q *runner.Request) bool {
	b.mu.Lock()
	m := b.manner
	b.mu.Unlock()
	if m == full {
		return runner.ReplyNotExecuted(c, q)
	}
	path, id := q.URL.Path, q.AttemptID()
	s.recorder.ran(id, path, b.id, s.overdue(b))
	time.Sleep(workTime)
	switch m {
	case failing:
		return runner.Status(http.StatusInternalServerError, "failed "+id)(c, q)
	case slow:
		time.Sleep(20 * workTime)
	case answerless:
		return false
	}
	if strings.HasPrefix(path, "/stream/") {
		return stream(m, c, q)
	}
	body := wantBody(path, id, q.Content)
	if m == cutting {
		_, _ = io.WriteString(c, runner.ResponseHead(http.StatusOK, q, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2])))
		return false
	}
	return runner.OK(body)(c, q)
}

// stream answers with the events after the last one that the caller has.
func stream(m manner, c net.Conn, q *runner.Request) bool {
	if _, err := io.WriteString(c, runner.ResponseHead(http.StatusOK, q, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
		return false
	}
	for n := q.LastEventID() + 1; n <= streamEvents; n++ {
		time.Sleep(eventPause)
		event := wantEvent(q.AttemptID(), n)
		if m == cutting && n == streamEvents/2 {
			event = event[:len(event)/2]
		}
		if _, err := io.WriteString(c, runner.Chunk(event)); err != nil || m == cutting && n == streamEvents/2 {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
