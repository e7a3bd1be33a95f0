package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"citronledge.example/stub/runner"
)

// isDeadly reports whether a request crashes servers, by its body or by a part of its
// prompt.
func isDeadly(q *runner.Request) bool {
	return string(q.Content) == "deadly" || strings.Contains(q.Header.Get("Prefix-Hash"), "dead:")
}

// brokenOff writes a part of an answer.
type brokenOff func(c net.Conn, q *runner.Request)

// brokenEvents writes a stream up to an event, and then more.
func brokenEvents(last int, more string) brokenOff {
	return func(c net.Conn, q *runner.Request) {
		runner.Write(c, runner.ResponseHead(http.StatusOK, q, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		for i := q.LastEventID() + 1; i <= q.LastEventID()+last; i++ {
			runner.Write(c, runner.Chunk(runner.Event(i)))
		}
		if more != "" {
			runner.Write(c, runner.Chunk(more))
		}
	}
}

// brokenBody writes the head of an answer with further headers, and a part of its body.
func brokenBody(status int, headers, part string) brokenOff {
	return func(c net.Conn, q *runner.Request) {
		runner.Write(c, runner.ResponseHead(status, q, headers+"\r\n\r\n"+part))
	}
}

// endings are answers that end in the middle, by the path of their route.
var endings = map[string]struct {
	path  string
	write brokenOff
	reset bool
}{
	"stream, after an event":          {"/stream/x", brokenEvents(1, ""), false},
	"stream, after an event, reset":   {"/stream/x", brokenEvents(1, ""), true},
	"stream, after two events":        {"/stream/x", brokenEvents(2, ""), false},
	"stream, after five events":       {"/stream/x", brokenEvents(5, ""), false},
	"stream, after twelve events":     {"/stream/x", brokenEvents(12, ""), true},
	"stream, inside an event":         {"/stream/x", brokenEvents(1, "id: 99\nda"), false},
	"repeatable, with a length":       {"/safe/x", brokenBody(http.StatusOK, "Content-Length: 800", "part"), false},
	"repeatable, reset":               {"/safe/x", brokenBody(http.StatusOK, "Content-Length: 800", "part"), true},
	"repeatable, in chunks":           {"/safe/x", brokenBody(http.StatusOK, "Transfer-Encoding: chunked", "4\r\npart\r\n"), false},
	"repeatable, after the head":      {"/safe/x", brokenBody(http.StatusOK, "Content-Length: 800", ""), false},
	"repeatable, failure":             {"/safe/x", brokenBody(http.StatusInternalServerError, "Content-Length: 800", "part"), false},
	"repeatable, long":                {"/safe/x", brokenBody(http.StatusOK, "Content-Length: 200000", strings.Repeat("x", 100_000)), false},
	"repeatable, long, in chunks":     {"/safe/x", brokenBody(http.StatusOK, "Transfer-Encoding: chunked", "186a0\r\n"+strings.Repeat("x", 100_000)+"\r\n"), true},
	"must not be repeated":            {"/once/x", brokenBody(http.StatusOK, "Content-Length: 800", "part"), false},
	"must not be repeated, long":      {"/once/x", brokenBody(http.StatusOK, "Content-Length: 200000", strings.Repeat("x", 100_000)), false},
	"must not be repeated, in chunks": {"/once/x", brokenBody(http.StatusOK, "Transfer-Encoding: chunked", "4\r\npart\r\n"), true},
}

// endedRig is a gate with nine runners that write a part of the answer to a deadly
// request and end: the whole runner, or only the connection.
func endedRig(t *testing.T, write brokenOff, reset, crashes bool) *rig {
	const down = 400 * time.Millisecond
	var r *rig
	replies := make([]runner.Reply, 9)
	for i := range replies {
		replies[i] = func(c net.Conn, q *runner.Request) bool {
			if !isDeadly(q) {
				return runner.Events(1, 3, 0, "")(c, q)
			}
			write(c, q)
			time.Sleep(5 * time.Millisecond) // the part arrives before the end
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			if crashes {
				r.runners[i].Crash(down)
			}
			return false
		}
	}
	r = newRig(t, replies...)
	return r
}

// deadlyRequests returns how many deadly requests have reached runners.
func (r *rig) deadlyRequests() (n int) {
	for _, x := range r.runners {
		for _, q := range x.Requests() {
			if isDeadly(q) {
				n++
			}
		}
	}
	return n
}

// Guards against a request, or a part of a prompt, that crashes each server in the
// middle of its answer and is never held back (review/13, review/14). A server that only
// breaks off its answers shows nothing of the kind, and sound requests are served.
func TestServerEndsWithinAnswer(t *testing.T) {
	const (
		requests     = 14
		maxByPart    = 8 // three after the fifth crash
		maxByContent = 6 // three after the third crash
	)
	for name, x := range endings {
		for kind, by := range map[string]struct {
			body, prompt string // may have the number of the request
			maxRuns      int
		}{
			"part":    {"question %d", deadlyPrompt, maxByPart},
			"content": {"deadly", "ba5e:100,5e55%x:5", maxByContent},
		} {
			for _, crashes := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, by %s, crashes %v", name, kind, crashes), func(t *testing.T) {
					t.Parallel()
					r := endedRig(t, x.write, x.reset, crashes)
					quarantined := 0
					for i := range requests {
						body := by.body
						if strings.Contains(body, "%d") {
							body = fmt.Sprintf(body, i)
						}
						got := r.sendBody(http.MethodPost, x.path, fmt.Sprint("deadly", i), body, map[string]string{"Prefix-Hash": fmt.Sprintf(by.prompt, i)})
						if got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "" {
							quarantined++
						}
						sound := r.sendBody(http.MethodPost, "/stream/x", fmt.Sprint("sound", i), fmt.Sprint("sound", i), map[string]string{"Prefix-Hash": fmt.Sprintf(soundPrompt, i)})
						if sound.status != http.StatusOK || sound.body != events(1, 3) {
							t.Errorf("sound request %d: got status %d with %q (%v), want the whole stream", i, sound.status, sound.body, sound.err)
						}
						time.Sleep(50 * time.Millisecond)
					}
					switch got := r.deadlyRequests(); {
					case crashes && got > by.maxRuns:
						t.Errorf("the deadly requests reached servers %d times, want at most %d", got, by.maxRuns)
					case crashes && quarantined == 0:
						t.Error("no deadly request was refused")
					case !crashes && quarantined > 0:
						t.Errorf("%d requests were refused though no server has crashed", quarantined)
					}
				})
			}
		}
	}
}

// Guards bystanders: streams that are under way on servers that a part of other
// prompts crashes go on at other servers, and their prompts are not held back.
func TestBystandersOfCrashes(t *testing.T) {
	const bystanders = 6
	var r *rig
	replies := make([]runner.Reply, 9)
	for i := range replies {
		replies[i] = func(c net.Conn, q *runner.Request) bool {
			if isDeadly(q) {
				brokenEvents(1, "")(c, q)
				time.Sleep(5 * time.Millisecond)
				r.runners[i].Crash(400 * time.Millisecond)
				return false
			}
			return runner.Events(q.LastEventID()+1, 40, 25*time.Millisecond, "")(c, q)
		}
	}
	r = newRig(t, replies...)
	r.longRoutes(10 * time.Second)
	got := make(chan answer)
	send := func(id string, n int) answer {
		return r.sendBody(http.MethodPost, "/stream/x", id, id, map[string]string{"Prefix-Hash": fmt.Sprintf("ba5e:100,b0b%x:20,%x:5", n%2, n), "Deadline-Ms": "8000"})
	}
	for i := range bystanders {
		go func() { got <- send(fmt.Sprint("bystander", i), i) }()
	}
	time.Sleep(200 * time.Millisecond) // their answers are under way
	for i := range 12 {
		r.sendBody(http.MethodPost, "/stream/x", fmt.Sprint("deadly", i), fmt.Sprint("deadly", i), map[string]string{"Prefix-Hash": fmt.Sprintf(deadlyPrompt, i)})
		time.Sleep(30 * time.Millisecond)
	}
	whole := 0
	for range bystanders {
		if a := <-got; a.status == http.StatusOK && a.body == events(1, 40) && a.err == nil {
			whole++
		}
	}
	if whole < bystanders-1 { // one may have met more crashes than the route allows attempts
		t.Errorf("%d of %d bystanders have the whole answer", whole, bystanders)
	}
	for i := range 4 {
		if a := send(fmt.Sprint("after", i), i); a.status != http.StatusOK {
			t.Errorf("a prompt with the parts of bystanders: got status %d, want 200", a.status)
		}
	}
	if n := r.deadlyRequests(); n > 8 {
		t.Errorf("the deadly requests reached servers %d times, want at most 8", n)
	}
}
