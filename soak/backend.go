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
	eventsPerStream = 12
	eventInterval   = 25 * time.Millisecond
	processingTime  = 4 * time.Millisecond
)

// behavior is the way a backend server handles requests.
type behavior int

const (
	behaviorHealthy behavior = iota
	behaviorError            // answers with status 500
	behaviorSlow
	behaviorNotExecuted // refuses the request as not run
	behaviorTruncate    // closes the connection in the middle of the answer
	behaviorNoResponse  // runs the request and closes the connection without an answer
	behaviorCount       // number of behaviors
)

// backends are the stand-in backend servers, each behind a proxy, and the
// platform's list of them.
type backends struct {
	recorder     *recorder
	listListener net.Listener
	listServer   *http.Server

	mu      sync.Mutex
	servers []*backend
	lastID  int
	// listFailedFor is the total time of past failures of the list.
	listFailedFor time.Duration
	// listFailingSince is the start of the current failure of the list; zero
	// without one.
	listFailingSince time.Time
	// resumedAt is when a process last resumed after a pause.
	resumedAt time.Time

	evacuations evacuations
}

type backend struct {
	id     string
	zone   string
	server *runner.Backend
	proxy  *proxy

	mu               sync.Mutex
	behavior         behavior
	leavingSince     time.Time     // when the list began to show it as leaving; zero before
	listFailedBefore time.Duration // listFailureTime at that moment
	unlisted         bool          // removed from the list
}

func (b *backend) setBehavior(m behavior) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behavior = m
}

const (
	// leaveGrace is how long a server may still get new requests after the list
	// shows it as leaving. Time in which the list fails does not count.
	leaveGrace = 3 * time.Second
	// resumeGrace is how long a gate may still send requests to a leaving server
	// after it resumes from a pause.
	resumeGrace = 3 * time.Second
)

func newBackends(rec *recorder) (*backends, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &backends{recorder: rec, listListener: ln}
	s.listServer = &http.Server{Handler: http.HandlerFunc(s.serveList), ReadHeaderTimeout: time.Second}
	go func() { _ = s.listServer.Serve(ln) }() // ends with close
	return s, nil
}

func (s *backends) close() {
	_ = s.listServer.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.servers {
		b.server.Close()
		b.proxy.close()
	}
}

// add starts a server in a zone and lists it.
func (s *backends) add(zone string) error {
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
	s.lastID++
	b := &backend{id: fmt.Sprintf("i-%d", s.lastID), zone: zone, server: r, proxy: p}
	r.SetReply(func(c net.Conn, q *runner.Request) bool { return s.reply(b, c, q) })
	s.servers = append(s.servers, b)
	return nil
}

// active returns the listed servers that are not leaving.
func (s *backends) active() []*backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*backend
	for _, b := range s.servers {
		b.mu.Lock()
		if b.leavingSince.IsZero() {
			list = append(list, b)
		}
		b.mu.Unlock()
	}
	return list
}

// startLeaving shows the server as leaving, and removes it from the list after a
// delay.
func (s *backends) startLeaving(b *backend, after time.Duration) {
	failed := s.listFailureTime()
	b.mu.Lock()
	b.leavingSince, b.listFailedBefore = time.Now(), failed
	b.mu.Unlock()
	time.AfterFunc(after, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.unlisted = true
	})
}

// listFailureTime returns the total time for which the list has failed in this
// run.
func (s *backends) listFailureTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listFailingSince.IsZero() {
		return s.listFailedFor
	}
	return s.listFailedFor + time.Since(s.listFailingSince)
}

// setListFailing starts or ends a failure of the list.
func (s *backends) setListFailing(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case failing && s.listFailingSince.IsZero():
		s.listFailingSince = time.Now()
	case !failing && !s.listFailingSince.IsZero():
		s.listFailedFor += time.Since(s.listFailingSince)
		s.listFailingSince = time.Time{}
	}
}

// recordResume records that a process resumes after a pause.
func (s *backends) recordResume() {
	s.evacuations.recordResume()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumedAt = time.Now()
}

// isPastLeaveGrace reports whether a server must not get new requests any more.
func (s *backends) isPastLeaveGrace(b *backend) bool {
	failed := s.listFailureTime()
	b.mu.Lock()
	leaving, before := b.leavingSince, b.listFailedBefore
	b.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return !leaving.IsZero() && time.Since(leaving)-(failed-before) > leaveGrace && time.Since(s.resumedAt) > resumeGrace
}

func (s *backends) serveList(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listFailingSince.IsZero() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var list []users.ListedBackend
	for _, b := range s.servers {
		b.mu.Lock()
		if !b.unlisted {
			list = append(list, users.ListedBackend{ID: b.id, Service: service, Address: b.proxy.ln.Addr().String(), Zone: b.zone, Leaving: !b.leavingSince.IsZero()})
		}
		b.mu.Unlock()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = users.WriteList(w, list) // fails only if the reader has disconnected
}

// expectedBody returns the body of the answer to a request that is not a stream.
func expectedBody(path, id string, content []byte) string {
	sum := sha256.Sum256(content)
	return fmt.Sprintf("%s %s %s", path, id, hex.EncodeToString(sum[:8]))
}

// expectedEvent returns event n of the answer to a streaming request.
func expectedEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

func (s *backends) reply(b *backend, c net.Conn, q *runner.Request) bool {
	b.mu.Lock()
	m := b.behavior
	b.mu.Unlock()
	path, id := q.URL.Path, q.AttemptID()
	s.recorder.recordArrival(id, b.id, b.zone, s.evacuations.arrive(b.zone))
	if m == behaviorNotExecuted {
		return runner.ReplyNotExecuted(c, q)
	}
	s.recorder.recordRun(id, path, b.id, s.isPastLeaveGrace(b))
	time.Sleep(processingTime)
	switch m {
	case behaviorError:
		return runner.Status(http.StatusInternalServerError, "failed "+id)(c, q)
	case behaviorSlow:
		time.Sleep(20 * processingTime)
	case behaviorNoResponse:
		return false
	}
	if strings.HasPrefix(path, "/stream/") {
		return writeStream(m, c, q)
	}
	body := expectedBody(path, id, q.Content)
	if m == behaviorTruncate {
		_, _ = io.WriteString(c, runner.ResponseHead(http.StatusOK, q, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2])))
		return false
	}
	return runner.OK(body)(c, q)
}

// writeStream answers with the events after the last one that the caller
// already has.
func writeStream(m behavior, c net.Conn, q *runner.Request) bool {
	if _, err := io.WriteString(c, runner.ResponseHead(http.StatusOK, q, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
		return false
	}
	for n := q.LastEventID() + 1; n <= eventsPerStream; n++ {
		time.Sleep(eventInterval)
		event := expectedEvent(q.AttemptID(), n)
		if m == behaviorTruncate && n == eventsPerStream/2 {
			event = event[:len(event)/2]
		}
		if _, err := io.WriteString(c, runner.Chunk(event)); err != nil || m == behaviorTruncate && n == eventsPerStream/2 {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
