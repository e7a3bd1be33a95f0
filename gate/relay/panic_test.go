package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"citronledge.example/core/plan"
	"citronledge.example/core/policy"
	"citronledge.example/gate/fleet"
)

// Guards against a defect in one request that stops the whole gate: the mutexes are free
// again, and the panic is counted.
func TestPanicCostsOneRequest(t *testing.T) {
	broken := true
	var r *Relay
	r = New(WithFleet(fleet.New("a")), WithSettings(Settings{RequireLease: true}), WithLease(func() bool {
		if broken {
			r.withQuarantine(func(*policy.Quarantine) { panic("a defect") })
		}
		return true
	}))
	r.SetPlan(&plan.Config{}, nil, 1)
	srv := httptest.NewServer(r)
	defer srv.Close()
	if resp, err := http.Post(srv.URL, "", nil); err == nil {
		_ = resp.Body.Close()
		t.Errorf("got status %d of the request that panicked, want an aborted connection", resp.StatusCode)
	}
	if got := testutil.ToFloat64(r.metrics.panics); got != 1 {
		t.Errorf("got %v panics, want 1", got)
	}
	broken = false
	client := &http.Client{Timeout: 5 * time.Second}
	resp, err := client.Post(srv.URL, "", nil)
	if err != nil {
		t.Fatalf("the next request: %v", err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNotFound {
		t.Errorf("the next request: got status %d, want 404", resp.StatusCode)
	}
}

// Guards against a gate that says it is ready though a mutex that all requests take is
// never free again.
func TestHungGateIsNotReady(t *testing.T) {
	r := New(WithFleet(fleet.New("a")))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = r.Sweep(ctx) }()
	old := time.Now().Add(-maxSweepPause)
	r.mu.Lock()
	r.swept.Store(&old)
	time.Sleep(sweepInterval + sweepInterval/2)
	if r.answers() {
		t.Error("the gate says that it answers while its mutex is held")
	}
	r.mu.Unlock()
	for range 50 {
		if r.answers() {
			return
		}
		time.Sleep(sweepInterval / 10)
	}
	t.Error("the gate does not say that it answers again")
}
