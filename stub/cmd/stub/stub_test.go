package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"citronledge.example/core/ident"
	"citronledge.example/stub/depot"
	"citronledge.example/stub/plain"
	"citronledge.example/stub/rater"
	"citronledge.example/stub/roster"
)

func ask(h http.Handler, method, path, body string, header http.Header) (int, string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for name, values := range header {
		r.Header[name] = values
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	data, _ := io.ReadAll(w.Body)
	return w.Code, string(bytes.TrimSpace(data))
}

// The stand-in service must not hide a second run from the tests.
func TestServiceCountsRuns(t *testing.T) {
	s := plain.New([]string{"vial"})
	key := http.Header{plain.KeyHeader: {"k"}}
	if code, _ := ask(s, "GET", "/lookup/k", "", nil); code != http.StatusNotFound {
		t.Errorf("look-up before the run: got %d, want 404", code)
	}
	for range 2 {
		ask(s, "POST", "/certificates", `{"vial":"V-1"}`, key)
	}
	var runs plain.Runs
	_, body := ask(s, "GET", "/runs", "", nil)
	if err := json.Unmarshal([]byte(body), &runs); err != nil || runs.CountByKey["k"] != 2 || runs.CountByBusinessFields["vial=V-1"] != 2 {
		t.Errorf("got runs %s, %v; want 2 of both", body, err)
	}
	if code, _ := ask(s, "GET", "/lookup/k", "", nil); code != http.StatusOK {
		t.Errorf("look-up after the run: got %d, want 200", code)
	}
}

// Stand-ins must not answer at once where the real systems lag or limit the rate.
func TestLagsAndRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := roster.New(time.Second)
		ask(members, "PUT", "/", `[{"name":"a","state":"live"}]`, nil)
		if _, body := ask(members, "GET", "/", "", nil); body != "[]" {
			t.Errorf("got members %s before the lag, want none", body)
		}
		time.Sleep(time.Second)
		if _, body := ask(members, "GET", "/", "", nil); !strings.Contains(body, `"a"`) {
			t.Errorf("got members %s after the lag", body)
		}
		start := time.Now()
		if _, body := ask(depot.New(12<<10, 4<<10), "GET", "/w", "", nil); len(body) != 12<<10 || time.Since(start) != 2*time.Second {
			t.Errorf("got %d bytes in %s, want 12 KiB in 2 s: the first 4 KiB are free", len(body), time.Since(start))
		}
	})
}

// Ratings must depend on the version and on the answer.
func TestRatings(t *testing.T) {
	r := rater.New(rater.Settings{Quality: map[ident.Target]float64{{Model: "m", Version: "v2"}: 0.9}, DefaultQuality: 0.5, Seed: 1})
	rate := func(version, answer string) float64 {
		var got map[string]float64
		_, body := ask(r, "POST", "/", `{"model":"m","version":"`+version+`","answer":"`+answer+`"}`, nil)
		_ = json.Unmarshal([]byte(body), &got)
		return got["rating"]
	}
	if a, b, c := rate("v1", "x"), rate("v2", "x"), rate("v2", "a flawed one"); a > 0.6 || b < 0.8 || c > 0.3 {
		t.Errorf("got ratings %.2f, %.2f, %.2f", a, b, c)
	}
	lost := rater.New(rater.Settings{FailureShare: 1})
	if code, _ := ask(lost, "POST", "/", "{}", nil); code != http.StatusServiceUnavailable {
		t.Errorf("lost rating: got %d, want 503", code)
	}
}
