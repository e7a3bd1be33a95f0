package relay_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"citronledge.example/stub/runner"
)

const (
	// uploadBytes is more than the buffers of a connection hold, so that the gate
	// is still writing the request when its answer comes.
	uploadBytes = 8 << 20
	// uploads is how often each answer is sent: which end of a connection learns of
	// a reset first depends on the scheduler.
	uploads = 5
	// uploadTime is enough for an upload on a busy machine.
	uploadTime = 20 * time.Second
)

// newEarlyRig is newRig with runners that answer before they have read a request.
func newEarlyRig(t *testing.T, replies ...runner.Reply) *rig {
	r := newRigOf(t, runner.StartEarly, replies...)
	r.longRoutes(uploadTime)
	return r
}

func (r *rig) upload(target string) answer {
	r.t.Helper()
	deadline := strconv.FormatInt(uploadTime.Milliseconds(), 10)
	return r.sendBody(http.MethodPost, target, "1", strings.Repeat("x", uploadBytes), map[string]string{"Deadline-Ms": deadline})
}

// unsized answers with a status and a body without a length, and then resets the
// connection if the request is still being sent.
func unsized(status int, body string) runner.Reply {
	return func(c net.Conn, r *runner.Request) bool {
		runner.Write(c, runner.ResponseHead(status, r, "\r\n"+body))
		return false
	}
}

// endThenReset ends its side of the connection after a part of its answer, and has
// the connection reset when more of the request arrives.
func endThenReset(c net.Conn, r *runner.Request) bool {
	unsized(200, "part")(c, r)
	return c.(*net.TCPConn).CloseWrite() != nil
}

// A server that answers an upload before it has read it, and resets the connection
// in the middle of an answer without a length, must not have its part taken for
// the whole answer. The system may report the reset to the write of the request
// only, and the end of the connection to the read of the answer. That end may also
// come before the reset: the system ends the connections of a process that has
// crashed, and resets them when more of a request arrives.
func TestResetDuringUpload(t *testing.T) {
	long := strings.Repeat("y", 200<<10)
	for name, x := range map[string]struct {
		target string
		reply  runner.Reply
	}{
		"safe":              {"/safe/x", unsized(200, "part")},
		"safe, empty":       {"/safe/x", unsized(200, "")},
		"safe, long part":   {"/safe/x", unsized(200, long)},
		"safe, failure":     {"/safe/x", unsized(500, "part")},
		"once":              {"/once/x", unsized(200, "part")},
		"once, long part":   {"/once/x", unsized(200, long)},
		"once, failure":     {"/once/x", unsized(500, "part")},
		"once, 404":         {"/once/x", unsized(404, "part")},
		"stream":            {"/stream/x", unsized(200, events(1, 3))},
		"sized once":        {"/sizedonce/x", unsized(200, "part")},
		"public, long part": {"/public/x", unsized(200, long)},
		"end, then reset":   {"/once/x", endThenReset},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range uploads {
				r := newEarlyRig(t, x.reply)
				// An answer of which the caller has a part has to break off.
				if got := r.upload(x.target); got.err == nil && got.status != http.StatusBadGateway {
					t.Errorf("got %d with %d bytes as a whole answer, want 502 or a broken one", got.status, len(got.body))
				}
			}
		})
	}
}

// After a reset, a request that may be repeated gets the answer of another server,
// and one that must not be repeated runs no second time.
func TestRepeatAfterReset(t *testing.T) {
	for name, x := range map[string]struct {
		target, part string
		sound        func(firstEvent int) runner.Reply
		whole        string
		once         bool
	}{
		"safe":   {"/safe/x", "part", func(int) runner.Reply { return runner.OK("whole") }, "whole", false},
		"once":   {"/once/x", "part", func(int) runner.Reply { return runner.OK("whole") }, "whole", true},
		"stream": {"/stream/x", events(1, 2), func(first int) runner.Reply { return runner.Events(first, 3, 0, "") }, events(1, 3), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sound := func(c net.Conn, q *runner.Request) bool { return x.sound(q.LastEventID()+1)(c, q) }
			broken := func(c net.Conn, q *runner.Request) bool {
				if q.LastEventID() > 0 {
					return sound(c, q)
				}
				return unsized(200, x.part)(c, q)
			}
			for range uploads {
				r := newEarlyRig(t, broken, sound)
				got := r.upload(x.target)
				whole := got.err == nil && got.status == 200 && got.body == x.whole
				if !whole && !(x.once && got.status == http.StatusBadGateway) {
					t.Errorf("got %d %q (%v), want %q", got.status, got.body, got.err, x.whole)
				}
				if runs := r.runs(); runs > 2 || x.once && runs > 1 {
					t.Errorf("got %d runs", runs)
				}
			}
		})
	}
}

// An answer without a length is whole if its server ends its own side of the
// connection in order and reads the rest of the request.
func TestOrderlyEndDuringUpload(t *testing.T) {
	for name, body := range map[string]string{"short": "whole", "long": strings.Repeat("y", 200<<10)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range uploads {
				r := newEarlyRig(t, func(c net.Conn, q *runner.Request) bool {
					unsized(200, body)(c, q)
					return c.(*net.TCPConn).CloseWrite() == nil
				})
				got := r.upload("/once/x")
				if got.err != nil || got.status != 200 || got.body != body {
					t.Errorf("got %d with %d bytes (%v), want 200 with %d", got.status, len(got.body), got.err, len(body))
				}
			}
		})
	}
}

// An answer that breaks off must not look complete to a caller of HTTP/1.0 either,
// which gets it without chunks.
func TestBreakOffWithoutChunks(t *testing.T) {
	long := strings.Repeat("y", 200<<10)
	r := newRig(t, func(c net.Conn, q *runner.Request) bool {
		runner.Write(c, runner.ResponseHead(200, q, "\r\n"+long))
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	})
	resp := r.raw("GET /safe/x HTTP/1.0\r\nHost: h.example\r\nAttempt-Id: 1\r\nKey: " + key + "\r\nDeadline-Ms: 2000\r\n\r\n")
	got, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusOK {
		t.Errorf("got %d bytes as a whole answer", len(got))
	}
}
