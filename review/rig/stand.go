package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{f: f, start: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// list is the infrastructure's list of servers.
type list struct {
	addr string

	mu      sync.Mutex
	entries []map[string]any
}

func newList(ln net.Listener) *list {
	l := &list{addr: ln.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runners", func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": l.entries, "next": nil})
	})
	go func() { _ = http.Serve(ln, mux) }()
	return l
}

// server is a stand-in for a runner. It follows the pages: it echoes Attempt-Id,
// refuses a request that names another instance with 421, and signs its
// answers.
type server struct {
	id, addr string
	rec      *record
	// answer writes the answer to a request that is meant for this server.
	answer func(s *server, w http.ResponseWriter, r *http.Request)

	mu    sync.Mutex
	begun map[string]int // runs by attempt
}

// addServer starts a server and lists it.
func (s *site) addServer(service string, slots int, answer func(*server, http.ResponseWriter, *http.Request)) (*server, error) {
	s.mu.Lock()
	s.lastHost++
	host := s.subnet + fmt.Sprint(s.lastHost)
	s.mu.Unlock()
	ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	b := &server{id: "i-" + fmt.Sprint(s.lastHost), addr: ln.Addr().String(), rec: s.rec, answer: answer, begun: map[string]int{}}
	go func() { _ = http.Serve(ln, b) }()
	s.list.mu.Lock()
	defer s.list.mu.Unlock()
	s.list.entries = append(s.list.entries, map[string]any{
		"id": b.id, "service": service, "address": b.addr, "zone": zones[len(s.list.entries)%3], "version": "v1", "slots": slots,
		"state": "ready", "cold-remaining-ms": 0,
	})
	return b, nil
}

func (b *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", b.id)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if e := r.Header.Get("Expect-Instance"); e != "" && e != b.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.answer(b, w, r)
}

// begin records that a request begins to run.
func (b *server) begin(r *http.Request, note string) {
	id := r.Header.Get("Attempt-Id")
	b.mu.Lock()
	b.begun[id]++
	b.mu.Unlock()
	b.rec.printf("server %s runs %s%s", b.id, id, note)
}

func (b *server) runs(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.begun[id]
}

// sign sets the headers of an answer that the server made itself.
func (b *server) sign(w http.ResponseWriter) {
	w.Header().Set("Server-Signature", b.id+".01")
	w.Header().Set("Instance-Load", "1,0,128")
}

// sendEvents writes the events from first to last of a stream, one each gap.
func sendEvents(w http.ResponseWriter, first, last int, gap time.Duration) error {
	for i := first; i <= last; i++ {
		if i > first {
			time.Sleep(gap)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i); err != nil {
			return err
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return err
		}
	}
	return nil
}
