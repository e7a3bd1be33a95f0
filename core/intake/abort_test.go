package intake

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// A client must not take the part that it has of an answer for the whole one,
// whatever shows it the end of an answer.
func TestAbort(t *testing.T) {
	for name, x := range map[string]struct {
		proto  string
		secure bool
	}{
		"chunks":                 {"HTTP/1.1", false},
		"chunks, TLS":            {"HTTP/1.1", true},
		"end of connection":      {"HTTP/1.0", false},
		"end of connection, TLS": {"HTTP/1.0", true},
	} {
		t.Run(name, func(t *testing.T) {
			arrived := make(chan struct{}) // closed when the client has the part
			srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				<-arrived
				Abort(w, r)
			}))
			callers := Listen(srv.Listener, BudgetFor(0), Limits{Conns: 4})
			callers.Attach(srv.Config)
			srv.Listener = callers
			start := srv.Start
			if x.secure {
				start = srv.StartTLS
			}
			start()
			defer srv.Close()
			c, err := net.Dial("tcp", callers.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			if x.secure {
				c = tls.Client(c, &tls.Config{InsecureSkipVerify: true})
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(20 * time.Second))
			_, _ = io.WriteString(c, "GET / "+x.proto+"\r\nHost: h\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(resp.Body, make([]byte, len("part"))); err != nil {
				t.Fatal(err)
			}
			close(arrived)
			if rest, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("got the end of the answer in order after %q", rest)
			}
		})
	}
}
