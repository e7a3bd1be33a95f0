package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runnerList is the infrastructure's list of runners.
type runnerList struct {
	addr string
	mu   sync.Mutex
	// entries are the entries in order, each encoded.
	entries []json.RawMessage
}

func serveList(addr string) (*runnerList, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	l := &runnerList{addr: addr}
	go func() { _ = http.Serve(ln, l) }()
	return l, nil
}

// ServeHTTP answers GET /runners with a single page.
func (l *runnerList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/runners" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.mu.Lock()
	list := append([]json.RawMessage{}, l.entries...)
	l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": list, "next": nil})
}

func (l *runnerList) set(entries ...json.RawMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = entries
}

// runner is a sound runner, but for what its work function does.
type runner struct {
	rec               *record
	id, service, zone string
	addr, version     string
	slots             int
	// work runs a request that the runner has taken. It writes the answer and
	// returns false if the channel has to be closed.
	work func(r *runner, q *work) bool

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]bool
	busy  int
	boot  int
	born  time.Time
}

// work is a request at a runner.
type work struct {
	*http.Request
	ctx context.Context // ends when the channel or the time of the request does
	// closed ends when the channel does.
	closed context.Context
	body   []byte
	conn   net.Conn
	boot   int
}

func (q *work) attempt() string { return q.Header.Get("Attempt-Id") }

// entry returns the runner's entry in the list.
func (r *runner) entry() json.RawMessage {
	text, _ := json.Marshal(map[string]any{
		"id": r.id, "service": r.service, "address": r.addr, "zone": r.zone, "version": r.version, "slots": r.slots, "state": "ready",
		"cold-remaining-ms": 0, "born": r.born.UnixMilli(),
	})
	return text
}

// start starts the runner's process: its listener.
func (r *runner) start() error {
	var ln net.Listener
	var err error
	for range 20 {
		if ln, err = net.Listen("tcp", r.addr); err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ln, r.conns, r.busy, r.born = ln, map[net.Conn]bool{}, 0, time.Now()
	r.boot++
	go r.accept(ln, r.boot)
	return nil
}

// crash ends the runner's process: its listener and all its channels.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.ln.Close()
	for c := range r.conns {
		_ = c.Close()
	}
	r.conns = map[net.Conn]bool{}
	r.boot++
}

func (r *runner) accept(ln net.Listener, boot int) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.boot != boot {
			r.mu.Unlock()
			_ = c.Close()
			return
		}
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c, boot)
	}
}

func (r *runner) serve(c net.Conn, boot int) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		// The channel may close while the request runs; otherwise the next byte
		// belongs to the next request.
		ctx, cancel := context.WithCancel(context.Background())
		next := make(chan error, 1)
		go func() {
			_, err := in.Peek(1)
			if err != nil {
				cancel()
			}
			next <- err
		}()
		keep := r.answer(&work{Request: req, ctx: ctx, closed: ctx, body: body, conn: c, boot: boot})
		cancel()
		if !keep {
			return
		}
		if err := <-next; err != nil {
			return
		}
	}
}

// head writes the head of an answer.
func (r *runner) head(q *work, status int, headers ...string) {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id := q.attempt(); id != "" {
		fmt.Fprintf(&b, "Attempt-Id: %s\r\n", id)
	}
	r.mu.Lock()
	busy := r.busy
	r.mu.Unlock()
	fmt.Fprintf(&b, "Instance-Load: %d,0,%d\r\n", busy, r.slots)
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	b.WriteString("\r\n")
	_, _ = io.WriteString(q.conn, b.String())
}

func (r *runner) signature(q *work) string {
	return fmt.Sprintf("Server-Signature: %s.%s.%d", r.id, q.attempt(), q.boot)
}

// reject answers that a request has not run.
func (r *runner) reject(q *work, status int, why string) bool {
	r.rec.add(r.id, "rejects %s with %d: %s", q.attempt(), status, why)
	r.head(q, status, "Not-Executed: 1", "Content-Length: 0")
	return true
}

// answer answers one request.
func (r *runner) answer(q *work) bool {
	switch {
	case q.URL.Path == "/healthz":
		r.head(q, 200, "Instance-Id: "+r.id, "Content-Length: 0")
		return true
	case q.URL.Path == "/api/report":
		r.head(q, 404, "Content-Length: 0")
		return true
	case q.attempt() == "":
		return r.reject(q, 400, "no id")
	}
	if want := q.Header.Get("Expect-Instance"); want != "" && want != r.id {
		return r.reject(q, 421, "expects "+want)
	}
	r.mu.Lock()
	full := r.busy >= r.slots
	if !full {
		r.busy++
	}
	r.mu.Unlock()
	if full {
		return r.reject(q, 503, "full")
	}
	defer func() {
		r.mu.Lock()
		r.busy--
		r.mu.Unlock()
	}()
	if ms, err := strconv.Atoi(q.Header.Get("Deadline-Ms")); err == nil {
		ctx, cancel := context.WithTimeout(q.ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
		q.ctx = ctx
	}
	return r.work(r, q)
}

// wait waits for the duration of some work and reports whether the request is
// still wanted.
func (q *work) wait(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-q.ctx.Done():
		return false
	}
}

// chunk writes a chunk of an answer without a length.
func (q *work) chunk(text string) {
	_, _ = fmt.Fprintf(q.conn, "%x\r\n%s\r\n", len(text), text)
}
