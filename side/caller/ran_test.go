package caller

import (
	"context"
	"net"
	"net/url"
	"sync/atomic"
	"testing"

	"github.com/rotisserie/eris"

	"citronledge.example/core/wire"
	"citronledge.example/stub/runner"
)

// TestRanFollowsBytes guards against "not run" of a call that the service has read:
// net/http repeats a call whose kept connection breaks, and its last error alone says
// that there was no connection. A call of which no byte went out has not run.
func TestRanFollowsBytes(t *testing.T) {
	get := &wire.Work{Method: "GET", Path: "/p"}
	post := &wire.Work{Method: "POST", Path: "/p", Body: []byte("body")}
	keyed := &wire.Work{Method: "POST", Path: "/p", Headers: []*wire.Header{{Name: "Idempotency-Key", Value: "k"}}}
	for name, x := range map[string]struct {
		work  *wire.Work
		kept  bool // the call goes on the connection of an earlier one
		conns int  // that can be opened; the service reads a call on each and ends it
		late  bool // the caller leaves before there is a connection
		want  bool
	}{
		"kept connection":              {work: get, kept: true, conns: 1, want: true},
		"kept connection, key":         {work: keyed, kept: true, conns: 1, want: true},
		"kept connection, body":        {work: post, kept: true, conns: 1, want: true},
		"kept connection, then reread": {work: get, kept: true, conns: 2, want: true},
		"new connection":               {work: get, conns: 1, want: true},
		"no connection":                {work: get},
		"no connection, body":          {work: post},
		"no connection in time":        {work: get, late: true},
	} {
		t.Run(name, func(t *testing.T) {
			var reads atomic.Int64
			service, err := runner.Start(func(c net.Conn, q *runner.Request) bool {
				return reads.Add(1) == 1 && x.kept && runner.OK("ok")(c, q)
			})
			if err != nil {
				t.Fatal(err)
			}
			defer service.Close()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			dials := 0
			c := New("pay", &url.URL{Scheme: "http", Host: service.Addr()}, 0, func(ctx context.Context, network, addr string) (net.Conn, error) {
				if dials++; dials <= x.conns {
					return (&net.Dialer{}).DialContext(ctx, network, addr)
				}
				if x.late {
					cancel()
					<-ctx.Done()
				}
				return nil, &net.OpError{Op: "dial", Net: network, Err: eris.New("refused")}
			})
			if x.kept {
				if out := c.Call(ctx, x.work, &answerSink{}); out.Fault != nil {
					t.Fatal(out.Fault)
				}
			}
			out := c.Call(ctx, x.work, &answerSink{})
			if out.Fault == nil || out.Ran != x.want {
				t.Errorf("got ran %v (%v) after the service read %d calls, want a fault and ran %v", out.Ran, out.Fault, reads.Load(), x.want)
			}
		})
	}
}
