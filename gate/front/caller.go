package front

import (
	"net/http"
	"strings"
	"time"

	"citronledge.example/core/wire"
)

// caller writes the answer to an HTTP response.
type caller struct {
	x      *exchange
	stream bool
}

// Head implements route.Caller.
func (c *caller) Head(status int, headers []*wire.Header) error {
	if err := c.x.r.Context().Err(); err != nil {
		return err
	}
	h := c.x.w.Header()
	for _, header := range headers {
		if name := http.CanonicalHeaderKey(header.GetName()); !ours[name] {
			h.Add(name, header.GetValue())
		}
	}
	if c.stream {
		h.Set("Cache-Control", "no-store")
	}
	c.x.w.WriteHeader(status)
	return nil
}

// Write implements route.Caller. Each write has its own time limit, so that a
// caller that does not read holds its slot for a bounded time only.
func (c *caller) Write(data []byte) error {
	rc := http.NewResponseController(c.x.w)
	_ = rc.SetWriteDeadline(time.Now().Add(writeTime)) // not supported in tests
	if _, err := c.x.w.Write(data); err != nil {
		return err
	}
	if c.stream {
		return rc.Flush()
	}
	return nil
}

// ours are headers that are not passed on in either direction: those of one
// connection (RFC 9110, section 7.6.1), and those that the gate or the side
// process sets itself and a caller must not forge.
var ours = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "X-Request-Id": true,
}

var hidden = map[string]bool{
	"Authorization": true, "X-Priority": true, "X-Resume-Tokens": true, "X-Fencing-Token": true,
}

// forward returns the headers of a request that go to a plain service.
func forward(h http.Header) []*wire.Header {
	dropped := map[string]bool{}
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			dropped[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	var list []*wire.Header
	for name, values := range h {
		if ours[name] || hidden[name] || dropped[name] {
			continue
		}
		for _, value := range values {
			list = append(list, &wire.Header{Name: name, Value: value})
		}
	}
	return list
}
