package launch

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"
)

var payout = map[string]any{"household": "H-17", "day": "2026-06-14", "amount": 1200}

// serviceKey is what the service gets for the key k1 of the customer.
const serviceKey = customer + ":payouts:k1"

// begin sends a payout through the first gate and waits until the service
// runs it. The channel gives the answer.
func begin(ctx context.Context, t *testing.T, s *System) <-chan Reply {
	t.Helper()
	answer := make(chan Reply, 1)
	go func() {
		r, err := caller(s, 0).CallService(ctx, "/v1/payouts", "k1", payout)
		if err != nil {
			r = Reply{} // the gate is gone
		}
		answer <- r
	}()
	err := poll(ctx, func() (bool, error) {
		keys, _, err := RunCounts(ctx, s.Services[0])
		return keys[serviceKey] == 1, err
	}, func() string { return "the payout has not reached the service" })
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

// once fails the test unless the payout ran exactly once.
func once(ctx context.Context, t *testing.T, s *System) {
	t.Helper()
	keys, business, err := RunCounts(ctx, s.Services[0])
	if err != nil || len(keys) != 1 || keys[serviceKey] != 1 || business["household=H-17,day=2026-06-14"] != 1 {
		t.Errorf("got runs %v, %v, error %v; want one", keys, business, err)
	}
}

// Guards against a payout that runs twice, or whose answer is lost, when its
// gate is killed during the call and the caller sends the key again.
func TestKillGateDuringPayout(t *testing.T) {
	ctx, s := start(t, time.Millisecond)
	fault(ctx, t, s.Services[0], `{"slow":1000}`)
	answer := begin(ctx, t, s)
	if err := s.Gates[0].Kill(); err != nil {
		t.Fatal(err)
	}
	if r := <-answer; r.Status != 0 {
		t.Errorf("got %d through a killed gate", r.Status)
	}
	var last Reply
	err := poll(ctx, func() (bool, error) {
		var err error
		last, err = caller(s, 1).CallService(ctx, "/v1/payouts", "k1", payout)
		return last.Status == http.StatusOK, err
	}, func() string { return "no answer to the resent key: " + string(last.Body) })
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(last.Body), `"run":1`) {
		t.Errorf("got %s, want the stored answer", last.Body)
	}
	once(ctx, t, s)
}

// Guards against a second run, or a false "not run", when the side process is
// killed during the call: nobody knows the outcome any more.
func TestKillSideDuringPayout(t *testing.T) {
	ctx, s := start(t, time.Millisecond)
	fault(ctx, t, s.Services[0], `{"slow":60000}`)
	answer := begin(ctx, t, s)
	if err := s.ServiceSides[0].Kill(); err != nil {
		t.Fatal(err)
	}
	if r := <-answer; r.Status < http.StatusInternalServerError || strings.Contains(string(r.Body), `"ran":"no"`) {
		t.Errorf("got %d %s, want an unknown outcome", r.Status, r.Body)
	}
	fault(ctx, t, s.Services[0], `{}`)
	if err := s.ServiceSides[0].Start(); err != nil {
		t.Fatal(err)
	}
	if err := s.awaitSides(ctx, 0); err != nil {
		t.Fatal(err)
	}
	for _, gate := range []int{0, 1} {
		r, err := caller(s, gate).CallService(ctx, "/v1/payouts", "k1", payout)
		if err != nil || r.Status == http.StatusOK || strings.Contains(string(r.Body), `"ran":"no"`) {
			t.Errorf("got %d %s, %v for the resent key, want no answer and no \"not run\"", r.Status, r.Body, err)
		}
	}
	once(ctx, t, s)
}

// Guards against an outcome that stays unknown although the service knows it:
// the answer is lost, and the gate looks the call up.
func TestLostPayoutIsLookedUp(t *testing.T) {
	ctx, s := start(t, time.Millisecond)
	fault(ctx, t, s.Services[0], `{"lose":true}`)
	r, err := caller(s, 0).CallService(ctx, "/v1/payouts", "k1", payout)
	if err != nil || r.Status != http.StatusOK || !strings.Contains(string(r.Body), `"run":1`) {
		t.Errorf("got %d %s, %v; want the answer that the service has stored", r.Status, r.Body, err)
	}
	fault(ctx, t, s.Services[0], `{}`)
	again, err := caller(s, 1).CallService(ctx, "/v1/payouts", "k1", payout)
	if err != nil || string(again.Body) != string(r.Body) {
		t.Errorf("got %d %s, %v for the resent key; want the same answer", again.Status, again.Body, err)
	}
	once(ctx, t, s)
}
