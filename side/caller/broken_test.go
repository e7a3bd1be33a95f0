package caller

import (
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"citronledge.example/core/fault"
	"citronledge.example/core/wire"
	"citronledge.example/stub/runner"
)

// answerSink collects an answer.
type answerSink struct {
	status int
	body   strings.Builder
}

func (s *answerSink) Head(status int, _ http.Header) error {
	s.status = status
	return nil
}

func (s *answerSink) Chunk(data []byte) error {
	_, err := s.body.Write(data)
	return err
}

// startEarly starts a service that answers before it has read a request, and
// returns a client of it.
func startEarly(t *testing.T, answer runner.Reply) *Client {
	t.Helper()
	service, err := runner.StartEarly(answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.Close)
	return New("pay", &url.URL{Scheme: "http", Host: service.Addr()}, 0, nil)
}

const (
	uploadBytes = 8 << 20
	uploads     = 30 // to each service: the scheduler decides which end of a connection learns of a reset
)

// A part of an answer must not be stored as the answer of an operation, nor end a
// call as complete, if the service resets the connection while it is sent the
// request.
func TestResetDuringUpload(t *testing.T) {
	upload := []byte(strings.Repeat("x", uploadBytes))
	const ok, tooLarge = "HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.1 413 Content Too Large\r\n\r\npart"
	for name, x := range map[string]struct {
		answer   string
		endFirst bool // ends its side of the connection before it is reset
	}{
		"success": {ok, false}, "failure": {tooLarge, false}, "success, end first": {ok, true}, "failure, end first": {tooLarge, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startEarly(t, func(to net.Conn, _ *runner.Request) bool {
				runner.Write(to, x.answer)
				return x.endFirst && to.(*net.TCPConn).CloseWrite() != nil
			})
			for range uploads {
				answer, out := c.CallOnce(t.Context(), &wire.Work{Method: "POST", Path: "/p", Operation: "c/pay/k", Fence: 1, Body: upload}, func() *fault.Fault { return nil })
				if answer != nil || !out.Ran || out.Fault == nil || out.Fault.Kind != fault.Unknown {
					t.Errorf("got %+v and an answer (%v) of an operation, want unknown without one", out, answer != nil)
				}
				sink := &answerSink{}
				if out := c.Call(t.Context(), &wire.Work{Method: "POST", Path: "/p", Body: upload}, sink); out.Fault == nil || !out.Ran {
					t.Errorf("got %+v and %d %q of a call as complete", out, sink.status, sink.body.String())
				}
			}
		})
	}
}

// An answer without a length stays whole if the service ends its side of the
// connection in order.
func TestOrderlyEndDuringUpload(t *testing.T) {
	c := startEarly(t, func(to net.Conn, _ *runner.Request) bool {
		runner.Write(to, "HTTP/1.1 200 OK\r\n\r\nwhole")
		return to.(*net.TCPConn).CloseWrite() == nil
	})
	upload := []byte(strings.Repeat("x", uploadBytes))
	for range uploads {
		sink := &answerSink{}
		if out := c.Call(t.Context(), &wire.Work{Method: "POST", Path: "/p", Body: upload}, sink); out.Fault != nil || sink.body.String() != "whole" {
			t.Errorf("got %+v and %d %q, want the whole answer", out, sink.status, sink.body.String())
		}
	}
}

// An answer with a head that HTTP does not allow must neither be stored as that of
// an operation nor reach a caller, and must not count as an end of the service that
// the request has caused.
func TestBrokenHead(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":              "HTTP/1.1 000 Trouble\r\n",
		"status 999":              "HTTP/1.1 999 Trouble\r\n",
		"blank in a name":         "HTTP/1.1 200 OK\r\nX Odd: 1\r\n",
		"blank after a name":      "HTTP/1.1 200 OK\r\nX-Odd : 1\r\n",
		"blank before a name":     "HTTP/1.1 200 OK\r\nDate: now\r\n X-Odd: 1\r\n",
		"control byte in a name":  "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n",
		"line feed before a name": "HTTP/1.1 200 OK\r\n\nX-Odd: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			service, err := runner.Start(runner.ReplyRawAndClose(func(*runner.Request) string { return head + "Content-Length: 2\r\n\r\nok" }))
			if err != nil {
				t.Fatal(err)
			}
			defer service.Close()
			c := New("pay", &url.URL{Scheme: "http", Host: service.Addr()}, 0, nil)
			answer, out := c.CallOnce(t.Context(), &wire.Work{Method: "POST", Path: "/p", Operation: "c/pay/k", Fence: 1}, func() *fault.Fault { return nil })
			if answer != nil || !out.Ran || out.Fault == nil || out.Fault.Kind != fault.Unknown || out.Broke {
				t.Errorf("got %+v and the answer %+v of an operation, want unknown without one", out, answer)
			}
			sink := &answerSink{}
			if out := c.Call(t.Context(), &wire.Work{Method: "GET", Path: "/p"}, sink); out.Fault == nil || !out.Ran || out.Broke || sink.status != 0 {
				t.Errorf("got %+v and %d %q of a call, want a fault", out, sink.status, sink.body.String())
			}
		})
	}
}
