package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// backTime is how long a runner is down after a crash.
const backTime = 3 * time.Second

// runner is a stand-in for a runner. It answers streams and plain requests at once,
// and crashes when it begins to write the answer to a request with a deadly part.
type runner struct {
	r       *rig
	id      string
	service string
	addr    string
	zone    string
	deadly  string // ID of a part; empty for none
	ran     func(run)

	crashes  atomic.Int64
	boot     atomic.Int64
	requests atomic.Int64

	mu  sync.Mutex
	srv *http.Server
}

// run is a request that reached a runner and is run by it.
type run struct {
	at      time.Time
	attempt string
	path    string
	crashed bool
}

func (x *runner) start() error {
	ln, err := net.Listen("tcp", x.addr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: http.HandlerFunc(x.serve)}
	x.mu.Lock()
	x.srv = srv
	x.mu.Unlock()
	x.boot.Add(1)
	go func() { _ = srv.Serve(ln) }()
	return nil
}

// crash ends all connections and is back after some seconds.
func (x *runner) crash() {
	x.mu.Lock()
	srv := x.srv
	x.srv = nil
	x.mu.Unlock()
	if srv == nil {
		return // it has crashed already
	}
	x.crashes.Add(1)
	_ = srv.Close()
	time.AfterFunc(backTime, func() {
		if err := x.start(); err != nil {
			x.r.note("runner %s cannot start again: %v", x.id, err)
		}
	})
}

func (x *runner) serve(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/healthz":
		w.Header().Set("Instance-Id", x.id)
		return
	case "/api/report":
		w.WriteHeader(http.StatusNotFound)
		return
	}
	id := q.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if want := q.Header.Get("Expect-Instance"); want != "" && want != x.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	n := x.requests.Add(1)
	w.Header().Set("Server-Signature", fmt.Sprintf("%s.%d.%d", x.id, x.boot.Load(), n))
	w.Header().Set("Instance-Load", "1,0,48")
	ran := run{at: time.Now(), attempt: id, path: q.URL.Path, crashed: x.isDeadly(q)}
	x.ran(ran)
	if q.Header.Get("Prefix-Hash") == "" {
		_, _ = io.WriteString(w, "body of "+id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Confidence", "95")
	w.Header().Set("Weight-Versions", "1")
	time.Sleep(30 * time.Millisecond) // reads the prompt
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	if ran.crashed {
		_ = control.Flush()
		x.crash()
		return
	}
	for i := 1; i <= 3; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, id); err != nil {
			return
		}
		_ = control.Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

// isDeadly reports whether a part of the prompt other than the last is deadly.
func (x *runner) isDeadly(q *http.Request) bool {
	parts := strings.Split(q.Header.Get("Prefix-Hash"), ",")
	for _, part := range parts[:len(parts)-1] {
		if name, _, _ := strings.Cut(part, ":"); x.deadly != "" && name == x.deadly {
			return true
		}
	}
	return false
}

// cloud is a stand-in for the infrastructure's list of runners.
func startCloud(addr string, runners []*runner) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	var list []map[string]any
	for _, x := range runners {
		list = append(list, map[string]any{
			"service": x.service, "address": x.addr, "zone": x.zone, "version": "v1", "slots": 48, "state": "ready", "cold-remaining-ms": 0, "id": x.id,
		})
	}
	body, err := json.Marshal(map[string]any{"instances": list, "next": nil})
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body)
	})}
	go func() { _ = srv.Serve(ln) }()
	return nil
}
