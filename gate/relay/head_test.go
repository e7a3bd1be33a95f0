package relay_test

import (
	"net/http"
	"strings"
	"testing"

	"citronledge.example/stub/runner"
)

// headWith returns an answer to a request with a line in the middle of its head.
func headWith(line string) func(*runner.Request) string {
	return func(r *runner.Request) string { return runner.ResponseHead(200, r, line+"X-Last: 1\r\n\r\nok") }
}

// withStatus returns an answer to a request with any text as its status.
func withStatus(status string) func(*runner.Request) string {
	return func(r *runner.Request) string {
		_, fields, _ := strings.Cut(runner.ResponseHead(200, r, "Content-Length: 2\r\n\r\nok"), "\r\n")
		return "HTTP/1.1 " + status + "\r\n" + fields
	}
}

// brokenHeads are answers that HTTP does not allow (RFC 9112 sections 4 and 5, RFC
// 9110 sections 5.1 and 15).
var brokenHeads = map[string]func(*runner.Request) string{
	"status 000":               withStatus("000 Trouble"),
	"status 000, then another": func(r *runner.Request) string { return "HTTP/1.1 000 Trouble\r\n\r\n" + headWith("")(r) },
	"status 099":               withStatus("099 Trouble"),
	"status 600":               withStatus("600 Trouble"),
	"status 999":               withStatus("999 Trouble"),
	"status with a sign":       withStatus("+20 OK"),
	"status without a reason":  withStatus("000"),
	"blank in a name":          headWith("X Odd: 1\r\n"),
	"blank after a name":       headWith("X-Odd : 1\r\n"),
	"blank before a name":      headWith(" X-Odd: 1\r\n"),
	"tab in a name":            headWith("X\tOdd: 1\r\n"),
	"tab before a name":        headWith("\tX-Odd: 1\r\n"),
	"blank after the length":   headWith("Content-Length : 1\r\n"),
	"blank before the length":  headWith(" Content-Length: 1\r\n"),
	"blank after the encoding": headWith("Transfer-Encoding : chunked\r\n"),
	"NUL in a name":            headWith("X\x00Odd: 1\r\n"),
	"control byte in a name":   headWith("X\x01Odd: 1\r\n"),
	"DEL in a name":            headWith("X\x7fOdd: 1\r\n"),
	"CR in a name":             headWith("X\rOdd: 1\r\n"),
	"CR before a name":         headWith("\rX-Odd: 1\r\n"),
	"LF in a name":             headWith("X\nOdd: 1\r\n"),
	"LF before a name":         headWith("\nX-Odd: 1\r\n"),
	"LF and blank":             headWith("X\n Odd: 1\r\n"),
	"letter beyond ASCII":      headWith("X-Ödd: 1\r\n"),
	"encoding of HTTP/1.0": func(r *runner.Request) string {
		return strings.Replace(runner.ResponseHead(200, r, "transfer-encoding: chunked\r\nX-Last: 1\r\n\r\n2\r\nok\r\n0\r\n\r\n"), "HTTP/1.1", "HTTP/1.0", 1)
	},
	"no name":  headWith(": 1\r\n"),
	"no colon": headWith("X-Odd\r\n"),
}

// An answer with a head that HTTP does not allow must not reach a caller, nor any of
// its lines.
func TestBrokenHead(t *testing.T) {
	for name, raw := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, target := range []string{"/safe/x", "/once/x", "/stream/x", "/sized/x", "/public/x"} {
				r := newRig(t, runner.ReplyRawAndClose(raw))
				got := r.send(http.MethodPost, target, "1", nil)
				if got.err == nil && got.status != http.StatusBadGateway || len(got.header["X-Last"]) > 0 {
					t.Errorf("%s: got %d %q %q, want 502", target, got.status, got.header, got.body)
				}
			}
			r := newRig(t, runner.ReplyRawAndClose(raw), runner.OK("whole"))
			for range 3 {
				if got := r.send(http.MethodPost, "/safe/x", "1", nil); got.err != nil || got.status != 200 || got.body != "whole" {
					t.Errorf("beside a sound server: got %d %q (%v), want its answer", got.status, got.body, got.err)
				}
			}
		})
	}
}

// What the grammar leaves open must not make a sound answer a broken one.
func TestUnusualHead(t *testing.T) {
	const fields = "Attempt-Id: 1\r\nServer-Signature: sig-1\r\n"
	for name, raw := range map[string]string{
		"no reason":            "HTTP/1.1 200\r\n" + fields + "Content-Length: 2\r\n\r\nok",
		"empty reason":         "HTTP/1.1 200 \r\n" + fields + "Content-Length: 2\r\n\r\nok",
		"HTTP/1.0":             "HTTP/1.0 200 OK\r\n" + fields + "\r\nok",
		"bare line ends":       strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+fields+"Content-Length: 2\r\n\r\nok", "\r\n", "\n"),
		"odd name":             "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09aZ: 1\r\n" + fields + "Content-Length: 2\r\n\r\nok",
		"empty value":          "HTTP/1.1 200 OK\r\nX-Odd:\r\n" + fields + "Content-Length: 2\r\n\r\nok",
		"blanks around values": "HTTP/1.1 200 OK\r\nX-Odd:\t a : b \t\r\n" + fields + "Content-Length: 2\r\n\r\nok",
		"long head":            "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 10<<10) + "\r\n" + fields + "Content-Length: 2\r\n\r\nok",
		"interim answers":      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, runner.ReplyRawAndClose(func(*runner.Request) string { return raw }))
			if got := r.send(http.MethodPost, "/once/x", "1", nil); got.err != nil || got.status != 200 || got.body != "ok" {
				t.Errorf("got %d %q (%v), want 200 ok", got.status, got.body, got.err)
			}
		})
	}
}
