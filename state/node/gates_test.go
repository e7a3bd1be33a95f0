package node

import (
	"maps"
	"strings"
	"sync"
	"testing"
	"time"

	"citronledge.example/core/client"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// A gate gets the list of gates when it changes, and only then: with hundreds of
// gates, the list in each grant would fill the leader's link. A new leader, which
// does not know all gates yet, sends none.
func TestGateList(t *testing.T) {
	bubble(t, func(r *testRig) {
		var mu sync.Mutex // guards received, which the tasks of both clients write
		received := map[string][][]*wire.Gate{}
		lists := func() map[string][][]*wire.Gate {
			mu.Lock()
			defer mu.Unlock()
			return maps.Clone(received)
		}
		hold := func(name, addr string) {
			r.holdLease(client.WithZone("zone"), client.WithExchange(addr, 1250, func(gates []*wire.Gate) {
				mu.Lock()
				defer mu.Unlock()
				received[name] = append(received[name], gates)
			}))
		}
		hold("a", "10.0.0.1:7")
		time.Sleep(10 * time.Second)
		hold("b", "10.0.0.2:7")
		time.Sleep(10 * time.Second)
		if a, b := len(lists()["a"]), len(lists()["b"]); a != 2 || b != 1 {
			t.Fatalf("got %d and %d lists, want 2 and 1", a, b)
		}
		for name, l := range lists() {
			got := l[len(l)-1]
			if len(got) != 2 || got[0].GetAddr() != "10.0.0.1:7" || got[1].GetAddr() != "10.0.0.2:7" || got[1].GetZone() != "zone" || got[1].GetLink() != 1250 {
				t.Errorf("%s: got %v, want both gates", name, got)
			}
		}
		// After an election, gates renew one by one.
		r.consensus.setElected(time.Now())
		time.Sleep(ident.GuardedLeaseDuration / 2)
		for name, l := range lists() {
			if len(l[len(l)-1]) != 2 {
				t.Errorf("%s: got %v of a new leader, want no change", name, l[len(l)-1])
			}
		}
		time.Sleep(10 * time.Second)
		if a, b := len(lists()["a"]), len(lists()["b"]); a != 2 || b != 1 {
			t.Errorf("got %d and %d lists after an election without a change, want 2 and 1", a, b)
		}
	})
}

// A configuration with many routes reaches a gate whole, although it is sent
// compressed.
func TestLargeDocument(t *testing.T) {
	bubble(t, func(r *testRig) {
		c, _, _ := r.holdLease()
		body := `{"routes":[` + strings.Repeat(`{"name":"r","host":"h.example"},`, 5000) + `{}]}`
		if err := r.node.ReplaceDocument(r.ctx, 7, []byte(body)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if got := c.View().Document; got.Version != 7 || string(got.Body) != body {
			t.Errorf("got version %d with %d bytes, want 7 with %d", got.Version, len(got.Body), len(body))
		}
	})
}
