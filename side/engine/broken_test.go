package engine

import (
	"net"
	"strings"
	"testing"

	"citronledge.example/core/wire"
	"citronledge.example/stub/runner"
)

// A part of an answer must not pass as whole if the engine resets the connection
// while it is sent the request.
func TestResetDuringUpload(t *testing.T) {
	const (
		uploadBytes = 8 << 20
		uploads     = 5 // the scheduler decides which end of a connection learns of a reset
	)
	body := []byte(`{"messages":[],"user":"` + strings.Repeat("x", uploadBytes) + `"}`)
	for name, answer := range map[string]string{
		"success": "HTTP/1.1 200 OK\r\n\r\n{}",
		"failure": "HTTP/1.1 413 Content Too Large\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, err := runner.StartEarly(func(c net.Conn, _ *runner.Request) bool {
				runner.Write(c, answer)
				return c.(*net.TCPConn).CloseWrite() != nil // what arrives now resets the connection
			})
			if err != nil {
				t.Fatal(err)
			}
			defer e.Close()
			for range uploads {
				out := New("http://"+e.Addr(), nil).Chat(t.Context(), &wire.Work{Body: body, Model: "m", Version: "v1"}, discardSink{})
				if out.Fault == nil || !out.Ran {
					t.Errorf("got %+v as complete", out)
				}
			}
		})
	}
}
