package front_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// BenchmarkCall measures the overhead of the gate for one call of a plain
// service: front, route, pool and bill, with a side process over net.Pipe that
// answers at once.
func BenchmarkCall(b *testing.B) {
	bench(b, func() *http.Request { return httptest.NewRequest(http.MethodGet, "/look", nil) })
}

// BenchmarkChat is the same for a chat.
func BenchmarkChat(b *testing.B) {
	bench(b, func() *http.Request {
		return httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(chatBody))
	})
}

// BenchmarkRefusal measures the front and the router alone.
func BenchmarkRefusal(b *testing.B) {
	w := newTestGate(b)
	w.start()
	for b.Loop() {
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(`{"model":"huge"}`))
		r.Header.Set("Authorization", "Bearer k1")
		w.front.ServeHTTP(httptest.NewRecorder(), r)
	}
}

func bench(b *testing.B, next func() *http.Request) {
	w := newTestGate(b)
	for _, s := range w.sides {
		s.load.Slots = 64
	}
	w.start()
	send := func() int {
		r := next()
		r.Header.Set("Authorization", "Bearer k1")
		rec := httptest.NewRecorder()
		w.front.ServeHTTP(rec, r)
		return rec.Code
	}
	for deadline := time.Now().Add(5 * time.Second); send() != http.StatusOK; {
		if time.Now().After(deadline) {
			b.Fatal("no link after 5 s")
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		if code := send(); code != http.StatusOK {
			b.Fatalf("got %d", code)
		}
	}
}
