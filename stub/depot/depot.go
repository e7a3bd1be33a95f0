// Package depot is a stand-in for a weight store: downloads share one rate
// limit.
package depot

import (
	"net/http"
	"strconv"

	"golang.org/x/time/rate"
)

const part = 4 << 10 // written at once; also the burst of the rate limit

// Store is an http.Handler that answers every GET with the same blob.
type Store struct {
	size  int
	limit *rate.Limiter
}

// New returns a store whose blobs have size bytes each, and whose downloads
// share perSecond bytes per second.
func New(size, perSecond int) *Store {
	return &Store{size: size, limit: rate.NewLimiter(rate.Limit(perSecond), part)}
}

// ServeHTTP implements http.Handler.
func (d *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
