package node

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
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

// A change must not hold up heartbeats: its replication and its push share the
// leader's link, and two operators may make a change each at the same time.
func TestConfigurationPushDelaysHeartbeats(t *testing.T) {
	const (
		gates        = 28
		linkRate     = 100_000_000 / 8 // bytes per second
		maxOccupancy = minElectionTimeout / 4
	)
	bubble(t, func(r *testRig) {
		for range gates {
			r.holdLease()
		}
		before := r.sent.Load()
		if err := r.node.ReplaceDocument(r.ctx, 7, largeDocument()); err != nil {
			t.Fatal(err)
		}
		r.waitInForce(r.node.ledger.Revision())
		sent := r.sent.Load() - before
		if got := time.Duration(sent * int64(time.Second) / linkRate); got > maxOccupancy {
			t.Errorf("a change takes %v of the leader's link (%d bytes), want at most %v", got, sent, maxOccupancy)
		}
	})
}

// minElectionTimeout is the shortest time without a heartbeat after which a
// member calls an election.
const minElectionTimeout = 300 * time.Millisecond

// largeDocument returns a configuration of 1,400 routes with random names.
func largeDocument() []byte {
	random := rand.New(rand.NewPCG(1, 1))
	var b bytes.Buffer
	b.WriteString(`{"routes":[`)
	for i := range 1400 {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"h%d.example","path-prefix":"/%06x/","type":"streaming","timeout-ms":20000,"target-latency-ms":3000,"service":"pool","max-attempts":3}`, random.Uint32(), i%5, random.Uint32())
	}
	b.WriteString(`]}`)
	return b.Bytes()
}
