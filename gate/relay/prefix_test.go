package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"citronledge.example/core/ident"
	"citronledge.example/core/plan"
	"citronledge.example/gate/relay"
	"citronledge.example/stub/runner"
)

// prefixAttempts returns the counts of relay_prefix_attempts_total by basis.
func prefixAttempts(t *testing.T, reg *prometheus.Registry) map[string]float64 {
	t.Helper()
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]float64{}
	for _, f := range families {
		if f.GetName() != "relay_prefix_attempts_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			for _, l := range m.GetLabel() {
				if l.GetName() == "basis" {
					got[l.GetValue()] += m.GetCounter().GetValue()
				}
			}
		}
	}
	return got
}

// The record must know the parts of answered prompts, tell equal parts behind
// other beginnings and at other models apart, and take none of a prompt that a
// server refused. With wrong keys, prompts would be credited parts that their
// servers have to read.
func TestPrefixRecords(t *testing.T) {
	reply := func(c net.Conn, q *runner.Request) bool {
		if strings.HasPrefix(q.Header.Get("Prefix-Hash"), "refused:") {
			return runner.ReplyNotExecuted(c, q)
		}
		return runner.Events(1, 2, 0, "")(c, q)
	}
	r := newRig(t, reply, reply, reply)
	reg := prometheus.NewRegistry()
	r.relay = relay.New(relay.WithFleet(r.fleet), relay.WithRegistry(reg))
	r.engine = &plan.Engine{Slots: 8, KVCapacity: 1e6, CostPer1000Tokens: map[ident.Model]float64{"small": 1, "large": 2}}
	r.affinity = true
	r.plan(2, nil)
	srv := httptest.NewServer(r.relay)
	t.Cleanup(srv.Close)
	r.url = srv.URL
	for i, step := range []struct {
		name, prompt, model     string
		status                  int
		wantBelief, wantRecords float64 // so far
	}{
		{"first", "class:512,subject:4870,x1:1228", "small", 200, 1, 0},
		{"again", "class:512,subject:4870,x2:1228", "small", 200, 1, 1},
		{"other beginning", "other:512,subject:4870,x3:1228", "small", 200, 2, 1},
		{"other model", "class:512,subject:4870,x4:1228", "large", 200, 3, 1},
		{"not run", "refused:512,subject:4870,x5:1228", "small", 503, 3, 1},
		{"not run again", "refused:512,subject:4870,x6:1228", "small", 503, 3, 1},
		{"nothing shared", "x7:1228", "small", 200, 3, 1},
		{"first once more", "class:512,subject:4870,x8:1228", "small", 200, 3, 2},
	} {
		got := r.send(http.MethodPost, "/stream/x", fmt.Sprint("p", i), map[string]string{"Model": step.model, "Token-Usage": "6610,200", "Prefix-Hash": step.prompt})
		if got.status != step.status {
			t.Fatalf("%s: got %d, want %d", step.name, got.status, step.status)
		}
		if n := prefixAttempts(t, reg); n["belief"] != step.wantBelief || n["record"] != step.wantRecords {
			t.Errorf("%s: got %v attempts so far, want %v on a belief and %v on the record", step.name, n, step.wantBelief, step.wantRecords)
		}
	}
}
