package caller

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/url"
	"testing"

	"citronledge.example/core/fault"
	"citronledge.example/core/wire"
)

// Guards against a second run by the HTTP client itself: net/http sends a
// request with an Idempotency-Key again when a reused connection breaks. The
// server reads each request and closes the connection without an answer.
func TestOperateSendsOnce(t *testing.T) {
	for name, body := range map[string]string{"with a body": "{}", "without a body": ""} {
		requests, dials := 0, 0
		dial := func(context.Context, string, string) (net.Conn, error) {
			dials++
			here, there := net.Pipe()
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(there)); err == nil {
					requests++
				}
				_ = there.Close()
			}()
			return here, nil
		}
		c := New("pay", &url.URL{Scheme: "http", Host: "service"}, 0, dial)
		w := &wire.Work{Method: "POST", Path: "/p", Operation: "c/pay/k", Fence: 1, Body: []byte(body)}
		_, out := c.Operate(t.Context(), w, func() *fault.Fault { return nil })
		if !out.Ran || out.Fault.Kind != fault.Unknown || requests != 1 || dials != 1 {
			t.Errorf("%s: got %+v, %d requests on %d connections; want unknown, 1, 1", name, out, requests, dials)
		}
	}
}

// Guards against a path that leads to another host, and against headers that
// a caller must not set.
func TestRequest(t *testing.T) {
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
	r, err := c.request(t.Context(), w)
	if err != nil {
		t.Fatal(err)
	}
	if r.URL.Host != "service" || r.URL.RawQuery != "a=1" {
		t.Errorf("got URL %s, want it at the service", r.URL)
	}
	want := map[string]string{
		"Authorization": "", "X-Fencing-Token": "7", "X-Customer": "coop", "X-Drop": "", "Accept": "text/plain",
		"Idempotency-Key": "a/b",
	}
	for name, value := range want {
		if got := r.Header.Get(name); got != value {
			t.Errorf("header %s: got %q, want %q", name, got, value)
		}
	}
}
