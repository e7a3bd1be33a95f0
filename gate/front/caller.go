package front

import (
	"net/http"
	"strings"
	"time"

	"citronledge.example/core/wire"
)

// responseWriter writes the answer of a request to its HTTP response.
type responseWriter struct {
	x      *apiRequest
	stream bool
}

// Head implements route.Caller.
func (c *responseWriter) Head(status int, headers []*wire.Header) error {
	if err := c.x.r.Context().Err(); err != nil {
		return err
	}
	h := c.x.w.Header()
	for _, header := range headers {
		if name := http.CanonicalHeaderKey(header.GetName()); !unforwardedHeaders[name] {
			h.Add(name, header.GetValue())
		}
	}
	if c.stream {
		h.Set("Cache-Control", "no-store")
	}
	c.x.w.WriteHeader(status)
	return nil
}

// Write implements route.Caller. Each write has its own deadline, which limits
// how long a caller that doesn't read occupies a slot.
func (c *responseWriter) Write(data []byte) error {
	rc := http.NewResponseController(c.x.w)
	_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout)) // not supported in tests
	if _, err := c.x.w.Write(data); err != nil {
		return err
	}
	if c.stream {
		return rc.Flush()
	}
	return nil
}

// unforwardedHeaders are headers that are forwarded in neither direction:
// hop-by-hop headers (RFC 9110, section 7.6.1), and headers that the gate or the
// side process sets itself and that a caller must not forge.
var unforwardedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "X-Request-Id": true,
}

// droppedRequestHeaders are further headers that are not forwarded to a service:
// the caller's key, and headers that a caller must not forge.
var droppedRequestHeaders = map[string]bool{
	"Authorization": true, "X-Priority": true, "X-Resume-Tokens": true, "X-Fencing-Token": true,
}

// serviceHeaders returns the headers of a request to forward to a plain service.
func serviceHeaders(h http.Header) []*wire.Header {
	dropped := map[string]bool{}
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			dropped[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	var list []*wire.Header
	for name, values := range h {
		if unforwardedHeaders[name] || droppedRequestHeaders[name] || dropped[name] {
			continue
		}
		for _, value := range values {
			list = append(list, &wire.Header{Name: name, Value: value})
		}
	}
	return list
}
