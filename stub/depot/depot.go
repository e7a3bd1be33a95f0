// Package depot is a stand-in for a weight store: downloads share one rate
// limit.
package depot

import (
	"net/http"
	"strconv"

	"golang.org/x/time/rate"
)

const chunkBytes = 4 << 10 // written at once; also the burst of the rate limit

// Store is an http.Handler that answers every GET with the same blob.
type Store struct {
	blobBytes int
	limiter   *rate.Limiter
}

// New returns a store whose blobs have blobBytes each, and whose downloads
// share bytesPerSecond.
func New(blobBytes, bytesPerSecond int) *Store {
	return &Store{blobBytes: blobBytes, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), chunkBytes)}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", strconv.Itoa(s.blobBytes))
	buf := make([]byte, chunkBytes)
	for left := s.blobBytes; left > 0; left -= chunkBytes {
		n := min(left, chunkBytes)
		if s.limiter.WaitN(r.Context(), n) != nil {
			return
		}
		if _, err := w.Write(buf[:n]); err != nil {
			return
		}
	}
}
