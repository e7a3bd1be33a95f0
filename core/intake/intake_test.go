package intake

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"
)

// Bodies within the limits must arrive unchanged and be charged with the memory
// that they occupy, and all others must leave nothing charged.
func TestReadBody(t *testing.T) {
	const limit = 100_000
	for name, x := range map[string]struct {
		size      int
		announced int64
		budget    Bytes
		deadline  time.Duration
		want      error
		used      Bytes
	}{
		"none":                   {0, 0, limit, time.Minute, nil, 0},
		"small":                  {10, 10, 0, time.Minute, nil, 0},
		"small, not announced":   {10, -1, 0, time.Minute, nil, 0},
		"largest":                {limit, limit, 2 * limit, time.Minute, nil, limit - BodyShare},
		"largest, not announced": {limit, -1, 2 * limit, time.Minute, nil, limit + 1 - BodyShare},
		"over, announced":        {limit, limit + 1, 2 * limit, time.Minute, ErrTooLarge, 0},
		"over, not announced":    {limit + 1, -1, 2 * limit, time.Minute, ErrTooLarge, 0},
		"no room":                {limit, limit, limit / 2, time.Minute, ErrNoRoom, 0},
		"shorter than announced": {limit / 2, limit, 2 * limit, time.Minute, io.ErrUnexpectedEOF, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(x.budget)
			text := strings.Repeat("x", x.size)
			r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(text))
			r.ContentLength = x.announced
			h, body, err := b.ReadBody(httptest.NewRecorder(), r, limit, time.Now().Add(x.deadline))
			if !errors.Is(err, x.want) || err == nil && string(body) != text {
				t.Errorf("got %d bytes, %v, want %d, %v", len(body), err, x.size, x.want)
			}
			if got := b.Used(); got != x.used {
				t.Errorf("used: got %d, want %d", got, x.used)
			}
			if h.Close(); b.Used() != 0 {
				t.Errorf("used after the end: got %d, want 0", b.Used())
			}
		})
	}
}

// serve starts a server behind a Listener. Its handler answers with the length of
// the body or the error that ReadBody returns.
func serve(t *testing.T, b *Budget, l Limits) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{MaxHeaderBytes: 64 << 10, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h, body, err := b.ReadBody(w, r, 1<<20, time.Now().Add(200*time.Millisecond))
		defer h.Close()
		if err != nil {
			EndRefused(w)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, err.Error())
			return
		}
		_, _ = fmt.Fprint(w, len(body))
	})}
	listener := Listen(ln, b, l)
	listener.Attach(srv)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- srv.Serve(listener) }()
	go func() { ended <- listener.Sweep(ctx) }()
	t.Cleanup(func() {
		cancel()
		_ = srv.Close()
		<-ended
		<-ended
	})
	return ln.Addr().String()
}

// send sends text on a new connection and returns the status and body of the
// answer; status 0 means that the connection was closed without one.
func send(t *testing.T, addr, text string) (status int, body string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(c, text) // the server may close the connection first
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// Each rule must end what breaks it, and nothing else.
func TestListener(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: h\r\n"
	long := strings.Repeat("H: 0123456789\r\n", 1000)
	for name, x := range map[string]struct {
		text   string
		status int
		body   string
	}{
		"small request":        {head + "Content-Length: 3\r\n\r\nabc", 200, "3"},
		"head at the limit":    {head + long[:8000-8000%15] + "Content-Length: 3\r\n\r\nabc", 200, "3"},
		"head over the limit":  {head + long, 431, ""},
		"head that never ends": {head, 0, ""},
		"body that never ends": {head + "Content-Length: 3\r\n\r\nab", 503, ErrTooSlow.Error()},
		"chunks without end":   {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", 503, ErrTooSlow.Error()},
		"body without room":    {head + "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 100_000), 503, ErrNoRoom.Error()},
		"empty lines":          {strings.Repeat("\r\n", 100), 400, "400 Bad Request"},
	} {
		t.Run(name, func(t *testing.T) {
			addr := serve(t, NewBudget(60_000), Limits{
				Conns: 4, HeadBytes: func() int { return 8192 },
				HeadTimeout: func() time.Duration { return 100 * time.Millisecond }, IdleTimeout: func() time.Duration { return time.Minute },
			})
			if status, body := send(t, addr, x.text); status != x.status || !strings.HasPrefix(body, x.body) {
				t.Errorf("got %d %q, want %d %q", status, body, x.status, x.body)
			}
		})
	}
}

// Connections without a request must give way to new ones, and an idle connection
// must be closed after its time only.
func TestConnections(t *testing.T) {
	addr := serve(t, NewBudget(1<<20), Limits{Conns: 3, IdleTimeout: func() time.Duration { return time.Millisecond }})
	var silent []net.Conn
	for range 10 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		silent = append(silent, c)
	}
	if status, body := send(t, addr, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); status != 200 || body != "0" {
		t.Errorf("got %d %q, want 200 with 0", status, body)
	}
	// The answer has shown that all connections before it were accepted.
	_ = silent[0].SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := silent[0].Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("oldest connection: got %v, want it closed", err)
	}
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if data, err := io.ReadAll(c); err != nil || !strings.HasSuffix(string(data), "\r\n\r\n0") {
		t.Errorf("idle connection: got %q, %v, want one answer and the end", data, err)
	}
}

func TestMaxConns(t *testing.T) {
	for name, x := range map[string]struct {
		memory int64
		files  int
		want   int
	}{
		"bounded by descriptors": {1 << 30, 256, 128},
		"bounded by memory":      {88 << 20, 10_000, 1126},
		"tiny":                   {1, 1, 1},
	} {
		if got := MaxConns(x.memory, x.files); got != x.want {
			t.Errorf("%s: got %d, want %d", name, got, x.want)
		}
	}
}
