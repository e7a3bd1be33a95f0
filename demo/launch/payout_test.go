package launch

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"
)

var payout = map[string]any{"household": "H-17", "day": "2026-06-14", "amount": 1200}

// serviceKey is the key that the service receives for the customer's key k1.
const serviceKey = customer + ":payouts:k1"

// beginPayout sends a payout through the first gate and waits until the service
// runs it. The answer is sent on the channel.
func beginPayout(ctx context.Context, t *testing.T, s *System) <-chan Reply {
	t.Helper()
	answer := make(chan Reply, 1)
	go func() {
		r, err := caller(s, 0).CallService(ctx, "/v1/payouts", "k1", payout)
		if err != nil {
			r = Reply{} // the gate was killed
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

// checkRanOnce fails the test unless the payout ran exactly once.
func checkRanOnce(ctx context.Context, t *testing.T, s *System) {
	t.Helper()
	keys, business, err := RunCounts(ctx, s.Services[0])
	if err != nil || len(keys) != 1 || keys[serviceKey] != 1 || business["household=H-17,day=2026-06-14"] != 1 {
		t.Errorf("got runs %v, %v, error %v; want one", keys, business, err)
	}
}

// When a gate is killed during a payout and the caller resends the key, the payout
// must run once and its answer must not be lost.
func TestKillGateDuringPayout(t *testing.T) {
	ctx, s := startSystem(t, time.Millisecond)
	setFaults(ctx, t, s.Services[0], `{"slow":1000}`)
	answer := beginPayout(ctx, t, s)
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
	checkRanOnce(ctx, t, s)
}

// When the side process is killed during a payout, the outcome is unknown. The
// payout must not run again and the answer must not say "not run".
func TestKillSideDuringPayout(t *testing.T) {
	ctx, s := startSystem(t, time.Millisecond)
	setFaults(ctx, t, s.Services[0], `{"slow":60000}`)
	answer := beginPayout(ctx, t, s)
	if err := s.ServiceSides[0].Kill(); err != nil {
		t.Fatal(err)
	}
	if r := <-answer; r.Status < http.StatusInternalServerError || strings.Contains(string(r.Body), `"ran":"no"`) {
		t.Errorf("got %d %s, want an unknown outcome", r.Status, r.Body)
	}
	setFaults(ctx, t, s.Services[0], `{}`)
	if err := s.ServiceSides[0].Start(); err != nil {
		t.Fatal(err)
	}
	if err := s.waitForSides(ctx, 0); err != nil {
		t.Fatal(err)
	}
	for _, gate := range []int{0, 1} {
		r, err := caller(s, gate).CallService(ctx, "/v1/payouts", "k1", payout)
		if err != nil || r.Status == http.StatusOK || strings.Contains(string(r.Body), `"ran":"no"`) {
			t.Errorf("got %d %s, %v for the resent key, want no answer and no \"not run\"", r.Status, r.Body, err)
		}
	}
	checkRanOnce(ctx, t, s)
}

// When the answer of a service is lost, the gate must look up the outcome at the
// service and return the stored answer.
func TestLostPayoutIsLookedUp(t *testing.T) {
	ctx, s := startSystem(t, time.Millisecond)
	setFaults(ctx, t, s.Services[0], `{"lose":true}`)
	r, err := caller(s, 0).CallService(ctx, "/v1/payouts", "k1", payout)
	if err != nil || r.Status != http.StatusOK || !strings.Contains(string(r.Body), `"run":1`) {
		t.Errorf("got %d %s, %v; want the answer that the service has stored", r.Status, r.Body, err)
	}
	setFaults(ctx, t, s.Services[0], `{}`)
	again, err := caller(s, 1).CallService(ctx, "/v1/payouts", "k1", payout)
	if err != nil || string(again.Body) != string(r.Body) {
		t.Errorf("got %d %s, %v for the resent key; want the same answer", again.Status, again.Body, err)
	}
	checkRanOnce(ctx, t, s)
}
