package reply_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"citronledge.example/core/reply"
)

// startHTTP2 starts a server that prefers HTTP/2.
func startHTTP2(h http.Handler) *httptest.Server {
	srv := httptest.NewUnstartedServer(h)
	srv.EnableHTTP2 = true
	srv.StartTLS()
	return srv
}

// Answers arrive whole over a connection that is kept open, also with TLS.
func TestTransport(t *testing.T) {
	for name, start := range map[string]func(http.Handler) *httptest.Server{
		"plain": httptest.NewServer, "TLS": httptest.NewTLSServer, "server of HTTP/2": startHTTP2,
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			callers := map[string]bool{} // by their address
			srv := start(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				callers[r.RemoteAddr] = true
				mu.Unlock()
				_, _ = io.Copy(w, r.Body)
			}))
			defer srv.Close()
			c := &http.Client{Transport: reply.NewTransport(srv.Client().Transport.(*http.Transport).Clone())}
			defer c.CloseIdleConnections()
			for _, want := range []string{"short", strings.Repeat("long", 1<<20)} {
				resp, err := c.Post(srv.URL, "text/plain", strings.NewReader(want))
				if err != nil {
					t.Fatal(err)
				}
				got, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if err != nil || string(got) != want {
					t.Errorf("got %d bytes (%v), want %d", len(got), err, len(want))
				}
			}
			if got := len(callers); got != 1 {
				t.Errorf("got %d connections, want 1", got)
			}
		})
	}
}
