package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"citronledge.example/core/ident"
)

func post(e *Engine, path, body string, header http.Header) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, path, strings.NewReader(body))
	for name, values := range header {
		r.Header[name] = values
	}
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	return w
}

// The stand-in must not hide faults of the router by being more lenient than a
// real engine: it must check fences, delay load reports and respect priorities.
func TestEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Settings{
			Models: []ident.Target{{Model: "m", Version: "v1"}}, Slots: 1, TokenInterval: 10 * time.Millisecond,
			FirstTokenDelay: 10 * time.Millisecond, LoadReportAge: 50 * time.Millisecond, Fencing: true,
		})
		if got := post(e, "/orders", `{"kind":"load","model":"m","version":"v2","fence":2}`, nil).Code; got != http.StatusNoContent {
			t.Errorf("order: got %d, want 204", got)
		}
		if got := post(e, "/orders", `{"kind":"unload","model":"m","version":"v2","fence":1}`, nil).Code; got != http.StatusConflict {
			t.Errorf("order with an old fence: got %d, want 409", got)
		}
		order := make(chan string, 3)
		chat := func(id, priority string) {
			post(e, "/v1/chat/completions", `{"model":"m/v2","max_tokens":10}`, http.Header{RequestHeader: {id}, PriorityHeader: {priority}})
			order <- id
		}
		go chat("first", "0")
		synctest.Wait()
		go chat("late", "9")
		synctest.Wait()
		go chat("urgent", "1")
		synctest.Wait()
		if got := e.LoadReport(); got.Running != 0 || got.AgeMillis != 50 {
			t.Errorf("got load %+v, want the report as of 50 ms ago", got)
		}
		time.Sleep(50 * time.Millisecond)
		if got := e.LoadReport(); got.Running != 1 || got.Queued != 2 || len(got.Models) != 2 {
			t.Errorf("got load %+v, want 1 running, 2 queued, 2 models", got)
		}
		if a, b, c := <-order, <-order, <-order; a != "first" || b != "urgent" || c != "late" {
			t.Errorf("got order %s %s %s, want first urgent late", a, b, c)
		}
	})
}
