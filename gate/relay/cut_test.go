package relay_test

import (
	"net/http"
	"testing"

	"citronledge.example/stub/runner"
)

// TestCutHead guards against a server that stops in the middle of its answer's
// head and closes: callers must not get a success with an empty or short body.
func TestCutHead(t *testing.T) {
	const id = "a-1"
	heads := map[string]string{
		"length":            "HTTP/1.1 200 OK\r\nServer-Signature: sig-1\r\nAttempt-Id: " + id + "\r\nContent-Length: 12\r\n\r\n",
		"length first":      "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nAttempt-Id: " + id + "\r\nServer-Signature: sig-1\r\n\r\n",
		"chunks":            "HTTP/1.1 200 OK\r\nServer-Signature: sig-1\r\nAttempt-Id: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n",
		"bare line ends":    "HTTP/1.1 200 OK\nServer-Signature: sig-1\nAttempt-Id: " + id + "\nContent-Length: 12\n\n",
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\nServer-Signature: sig-1\r\nAttempt-Id: " + id + "\r\n\r\n",
		"after an interim":  "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nServer-Signature: sig-1\r\nAttempt-Id: " + id + "\r\nContent-Length: 12\r\n\r\n",
		"end of connection": "HTTP/1.1 200 OK\r\nServer-Signature: sig-1\r\nAttempt-Id: " + id + "\r\n\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for cut := range len(head) {
				reply := runner.ReplyRawAndClose(func(*runner.Request) string { return head[:cut] })
				for _, target := range []string{"/safe/x", "/once/x", "/stream/x"} {
					r := newRig(t, reply)
					got := r.send(http.MethodPost, target, id, nil)
					if got.err == nil && got.status < 300 {
						t.Errorf("%s, cut after %q: got %d with %q as a whole answer", target, head[max(0, cut-30):cut], got.status, got.body)
					}
					if r.runs() == 0 {
						t.Errorf("%s, cut after %d bytes: the server was not asked", target, cut)
					}
				}
			}
		})
	}
}
