// Package depot is a stand-in for a weight store: downloads share one rate
// limit.
package depot

import (
	"net/http"
	"strconv"

	"golang.org/x/time/rate"
)

const part = 4 << 10 // bytes written at once

// Depot is an http.Handler that answers every GET with the same blob.
type Depot struct {
	size  int
	limit *rate.Limiter
}

// New returns a store whose blobs have a size in bytes, and whose downloads
// together get a rate in bytes per second.
func New(size, perSecond int) *Depot {
	return &Depot{size: size, limit: rate.NewLimiter(rate.Limit(perSecond), part)}
}

// ServeHTTP implements http.Handler.
func (d *Depot) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", strconv.Itoa(d.size))
	buf := make([]byte, part)
	for left := d.size; left > 0; left -= part {
		n := min(left, part)
		if d.limit.WaitN(r.Context(), n) != nil {
			return
		}
		if _, err := w.Write(buf[:n]); err != nil {
			return
		}
	}
}
