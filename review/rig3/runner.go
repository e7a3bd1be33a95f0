package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// backTime is how long a runner is down after a crash.
	backTime = 3 * time.Second
	// crashDelay is the time from what was written last to the crash.
	crashDelay = 2 * time.Millisecond
	// workTime is how long a plain request runs, and sendTime that on the path /send/.
	workTime = 30 * time.Millisecond
	sendTime = 200 * time.Millisecond
)

// runner is a stand-in for a runner. It answers streams and plain requests at once,
// and crashes when it begins to write the answer to a request with a deadly part.
type runner struct {
	r       *rig
	id      string
	service string
	addr    string
	zone    string
	deadly  string // ID of a part, or body of a request, that crashes it; empty for none
	crashAt crashPoint
	ran     func(run)

	crashes  atomic.Int64
	boot     atomic.Int64
	requests atomic.Int64

	mu  sync.Mutex
	srv *http.Server
}

// crashPoint says how far the answer to a deadly request has come when the runner
// crashes.
type crashPoint uint8

const (
	afterHead  crashPoint = iota // the head of the answer is written
	beforeHead                   // the request runs, and nothing is written
	afterPart                    // the head and a part of a plain answer are written
	afterEvent                   // the head and the first event are written
)

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
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	n := x.requests.Add(1)
	w.Header().Set("Server-Signature", fmt.Sprintf("%s.%d.%d", x.id, x.boot.Load(), n))
	w.Header().Set("Instance-Load", "1,0,48")
	ran := run{at: time.Now(), attempt: id, path: q.URL.Path, crashed: x.isDeadly(q, body)}
	x.ran(ran)
	control := http.NewResponseController(w)
	if q.Header.Get("Prefix-Hash") == "" {
		work := workTime
		if strings.HasPrefix(q.URL.Path, "/send/") {
			work = sendTime
		}
		time.Sleep(work)
		x.answer(w, control, id, ran.crashed)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Confidence", "95")
	w.Header().Set("Weight-Versions", "1")
	time.Sleep(30 * time.Millisecond) // reads the prompt
	w.WriteHeader(http.StatusOK)
	if ran.crashed {
		if x.crashAt == afterEvent {
			_, _ = fmt.Fprintf(w, "id: 1\ndata: piece 1 of %s\n\n", id)
		}
		_ = control.Flush()
		time.Sleep(crashDelay)
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

// answer answers a plain request, or crashes.
func (x *runner) answer(w http.ResponseWriter, control *http.ResponseController, id string, crashes bool) {
	text := "body of " + id + strings.Repeat(".", 800)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if !crashes {
		_, _ = io.WriteString(w, text)
		return
	}
	if x.crashAt == afterPart {
		_, _ = io.WriteString(w, text[:100])
		_ = control.Flush()
		time.Sleep(crashDelay)
	}
	x.crash()
}

// isDeadly reports whether the body, or a part of the prompt other than the last, is
// deadly.
func (x *runner) isDeadly(q *http.Request, body []byte) bool {
	if x.deadly != "" && string(body) == x.deadly {
		return true
	}
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
