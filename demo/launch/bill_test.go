package launch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Every usage record must be settled, also that of a failed attempt that another
// backend server continued, and that of a caller that disconnected. An unsettled
// record would delay the planned stop of its side process.
func TestRecordsAreSettled(t *testing.T) {
	ctx, s := startSystem(t, 5*time.Millisecond)
	setFaults(ctx, t, s.Engines[0], `{"break":3}`)
	for i := range 12 {
		r, err := caller(s, i%2).Chat(ctx, ChatBody("swift", fmt.Sprintf("claim %d", i), 8, true))
		if problem := streamProblem(r, 8); err != nil || problem != "" {
			t.Errorf("chat %d: %v %s", i, err, problem)
		}
	}
	callerCtx, cancel := context.WithCancel(ctx)
	_, err := caller(s, 0).ChatWithProgress(callerCtx, ChatBody("swift", "claim 13", 2000, true), func(events int) {
		if events == 2 {
			cancel()
		}
	})
	if err == nil {
		t.Error("the chat of the caller that disconnected has no error")
	}
	for _, p := range s.Sides {
		left := 0
		err := poll(ctx, func() (bool, error) {
			var page struct {
				Detail struct {
					Records int `json:"records"`
				} `json:"detail"`
			}
			err := get(ctx, "http://"+p.AdminAddr+"/status", func(r *http.Response) error { return json.NewDecoder(r.Body).Decode(&page) })
			left = page.Detail.Records
			return left == 0, err
		}, func() string { return fmt.Sprintf("%s still has %d usage records", p.Name, left) })
		if err != nil {
			t.Fatal(err)
		}
	}
	bills, err := s.Bills(ctx, customer)
	if err != nil || len(bills) != 13 {
		t.Errorf("got %d bills, %v; want 13", len(bills), err)
	}
}

// setFaults sets the faults of a stub.
func setFaults(ctx context.Context, t *testing.T, p *Proc, body string) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Addr+"/faults", bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}
