package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"citronledge.example/core/fault"
	"citronledge.example/core/wire"
)

// net/http resends a request that has an Idempotency-Key when a reused
// connection breaks, which could run an operation twice. The server here reads
// each request and closes the connection without an answer.
func TestCallOnceSendsOnce(t *testing.T) {
	for name, body := range map[string]string{"with a body": "{}", "without a body": ""} {
		requests, dials := 0, 0
		dial := func(context.Context, string, string) (net.Conn, error) {
			dials++
			client, server := net.Pipe()
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
					requests++
				}
				_ = server.Close()
			}()
			return client, nil
		}
		c := New("pay", &url.URL{Scheme: "http", Host: "service"}, 0, dial)
		w := &wire.Work{Method: "POST", Path: "/p", Operation: "c/pay/k", Fence: 1, Body: []byte(body)}
		_, out := c.CallOnce(t.Context(), w, func() *fault.Fault { return nil })
		if !out.Ran || out.Fault.Kind != fault.Unknown || requests != 1 || dials != 1 {
			t.Errorf("%s: got %+v, %d requests on %d connections; want unknown, 1, 1", name, out, requests, dials)
		}
	}
}

// A path must not lead to another host, and a caller must not set the headers
// that the client sets.
func TestNewRequest(t *testing.T) {
	c := New("pay", &url.URL{Scheme: "http", Host: "service"}, 0, nil)
	w := &wire.Work{
		Method: "POST", Path: "//evil/x?a=1", Customer: "coop", Operation: "coop/pay/a/b", Fence: 7,
		Headers: []*wire.Header{
			{Name: "Authorization", Value: "secret"},
			{Name: "X-Fencing-Token", Value: "99"},
			{Name: "X-Customer", Value: "other"},
			{Name: "Connection", Value: "X-Drop"},
			{Name: "X-Drop", Value: "1"},
			{Name: "Accept", Value: "text/plain"},
		},
	}
	r, err := c.newRequest(t.Context(), w)
	if err != nil {
		t.Fatal(err)
	}
	if r.URL.Host != "service" || r.URL.RawQuery != "a=1" {
		t.Errorf("got URL %s, want it at the service", r.URL)
	}
	want := map[string]string{
		"Authorization": "", "X-Fencing-Token": "7", "X-Customer": "coop", "X-Drop": "", "Accept": "text/plain",
		"Idempotency-Key": "coop:pay:a~2Fb",
	}
	for name, value := range want {
		if got := r.Header.Get(name); got != value {
			t.Errorf("header %s: got %q, want %q", name, got, value)
		}
	}
}

// No two operations may share a key, or a service that deduplicates by key
// gives one customer the answer of another.
func TestServiceKey(t *testing.T) {
	tests := map[string]struct{ operation, want string }{
		"plain":              {"coop/pay/2f-1.a_B", "coop:pay:2f-1.a_B"},
		"other customer":     {"acme/pay/2f-1.a_B", "acme:pay:2f-1.a_B"},
		"slash":              {"coop/pay/a/b", "coop:pay:a~2Fb"},
		"escaped slash":      {"coop/pay/a~2Fb", "coop:pay:a~7E2Fb"},
		"colon":              {"coop/pay/x:y", "coop:pay:x~3Ay"},
		"colon in the route": {"coop/pay:x/y", "coop:pay~3Ax:y"},
		"not ASCII":          {"coop/pay/\u00e9 \x7f", "coop:pay:~C3~A9~20~7F"},
		"dots":               {"coop/pay/..", "coop:pay:.."},
	}
	seen := map[string]string{}
	for name, test := range tests {
		got := ServiceKey(test.operation)
		if got != test.want {
			t.Errorf("%s: got %q, want %q", name, got, test.want)
		}
		if other, ok := seen[got]; ok {
			t.Errorf("%s and %s share the key %q", name, other, got)
		}
		seen[got] = name
		if url.PathEscape(got) != got {
			t.Errorf("%s: %q changes as a path segment", name, got)
		}
	}
}

// A service may deduplicate repeatable calls by key too, so their keys must
// also differ between customers.
func TestRepeatableKeyIsScoped(t *testing.T) {
	c := New("pay", &url.URL{Scheme: "http", Host: "service"}, 0, nil)
	r, err := c.newRequest(t.Context(), &wire.Work{
		Method: "POST", Path: "/p", Customer: "coop", Route: "notes", Headers: []*wire.Header{{Name: "Idempotency-Key", Value: "k"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if got, want := r.Header.Get(IdempotencyKeyHeader), "coop:notes:k"; got != want {
		t.Errorf("got key %q, want %q", got, want)
	}
}

// A service that sends a head without end must not fill the memory of the side
// process until the caller's deadline.
func TestEndlessHead(t *testing.T) {
	const maxRead = 1 << 20 // bytes
	const ok, interim = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 102 Processing\r\n\r\n"
	for name, x := range map[string]struct{ head, rest string }{
		"header line":     {ok + "A: ", "x"},
		"header lines":    {ok, "A: x\r\n"},
		"interim answers": {"", interim},
	} {
		sent := make(chan int, 1)
		dial := func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() { sent <- sendEndless(server, x.head, x.rest) }()
			return client, nil
		}
		c := New("pay", &url.URL{Scheme: "http", Host: "service"}, 0, dial)
		w := &wire.Work{Method: "POST", Path: "/p", Operation: "c/pay/k", Fence: 1}
		_, out := c.CallOnce(t.Context(), w, func() *fault.Fault { return nil })
		if !out.Ran || out.Fault == nil || out.Fault.Kind != fault.Unknown {
			t.Errorf("%s: got %+v of an operation, want unknown", name, out)
		}
		if got := <-sent; got > maxRead {
			t.Errorf("%s: %d bytes were read for an operation, want at most %d", name, got, maxRead)
		}
		out = c.Call(t.Context(), &wire.Work{Method: "GET", Path: "/p"}, nil)
		if got := <-sent; out.Fault == nil || got > maxRead {
			t.Errorf("%s: %d bytes were read for a call with the outcome %+v", name, got, out)
		}
	}
}

// TestCutHead guards against a service that stops in the middle of its answer's
// head and closes: a call must not get a success with an empty body, and an
// operation has an unknown outcome.
func TestCutHead(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nDate: now\r\n\r\n",
		"HTTP/1.1 200 OK\r\nDate: now\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\nContent-Length: 12\n\n",
		"HTTP/1.0 200 OK\r\nDate: now\r\n\r\n",
	} {
		for cut := range len(head) {
			dial := func(context.Context, string, string) (net.Conn, error) {
				client, server := net.Pipe()
				go func() {
					_, _ = http.ReadRequest(bufio.NewReader(server))
					_, _ = io.WriteString(server, head[:cut])
					_ = server.Close()
				}()
				return client, nil
			}
			c := New("pay", &url.URL{Scheme: "http", Host: "service"}, 0, dial)
			_, out := c.CallOnce(t.Context(), &wire.Work{Method: "POST", Path: "/p", Operation: "c/pay/k", Fence: 1}, func() *fault.Fault { return nil })
			if !out.Ran || out.Fault == nil || out.Fault.Kind != fault.Unknown {
				t.Errorf("cut after %q: got %+v of an operation, want unknown", head[:cut], out)
			}
			if out := c.Call(t.Context(), &wire.Work{Method: "GET", Path: "/p"}, nil); out.Fault == nil {
				t.Errorf("cut after %q: got %+v of a call", head[:cut], out)
			}
		}
	}
}

// sendEndless answers one request with head and then rest again and again,
// until the connection is closed. It returns the number of bytes sent.
func sendEndless(c net.Conn, head, rest string) int {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return 0
	}
	rest = strings.Repeat(rest, 1+(4<<10)/len(rest))
	n, err := io.WriteString(c, head)
	sent := n
	for err == nil {
		n, err = io.WriteString(c, rest)
		sent += n
	}
	return sent
}
