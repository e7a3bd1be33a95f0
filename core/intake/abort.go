package intake

import (
	"net"
	"net/http"
)

// Abort ends a handler whose answer is not complete, so that the client notices. It
// does not return. An answer to a client of HTTP/1.0 has no chunks and ends with its
// connection, which is reset for it.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset resets the connection of a request.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the answer does not go to a connection, as in tests
	}
	if t, ok := c.(interface{ NetConn() net.Conn }); ok { // TLS, which would announce an orderly end
		c = t.NetConn()
	}
	if l, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0)
	}
	_ = c.Close()
}
