package route

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestEndlessRating guards against a rating service that sends without end: the
// gate kept all of it until it ran out of memory.
func TestEndlessRating(t *testing.T) {
	const limit = 5 * time.Second // far below ratingTimeout
	block := strings.Repeat("x", 64<<10)
	for name, x := range map[string]struct{ head, start string }{
		"a text in the body":    {"", `{"rating": 0.5, "note": "`},
		"spaces before a value": {"", strings.Repeat(" ", 1<<20)},
		"header line":           {"HTTP/1.1 200 OK\r\nA: ", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				to := io.Writer(w)
				if x.head != "" {
					c, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					defer func() { _ = c.Close() }()
					to = c
				}
				_, err := io.WriteString(to, x.head+x.start)
				for end := time.Now().Add(limit); err == nil && time.Now().Before(end); {
					_, err = io.WriteString(to, block)
				}
			}))
			defer srv.Close()
			start := time.Now()
			if _, err := NewHTTPRater(srv.URL).Rate(t.Context(), RatingRequest{}); err == nil {
				t.Error("got a rating from an answer without end")
			}
			if took := time.Since(start); took > limit/2 {
				t.Errorf("the answer was read for %v, want it given up at its limit", took)
			}
		})
	}
}

// A rating in an answer whose head is none that HTTP allows must not count.
func TestBrokenRatingAnswer(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n"+`{"rating":0.5}`)
	}))
	defer srv.Close()
	if q, err := NewHTTPRater(srv.URL).Rate(t.Context(), RatingRequest{}); err == nil {
		t.Errorf("got the rating %v, want an error", q)
	}
}
