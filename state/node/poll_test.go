package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/core/link"
)

// BenchmarkPoll measures one poll of the platform's list when nothing has
// changed, over loopback. The processor time is that of both ends; the other
// end only writes the bytes.
func BenchmarkPoll(b *testing.B) {
	for _, members := range []int{100, 1000, 4600} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) { benchPoll(b, members) })
	}
}

func benchPoll(b *testing.B, members int) {
	var list []listedMember
	for i := range members {
		list = append(list, listedMember{
			Name: fmt.Sprintf("runner-%04d", i), Addr: "10.100.200.30:7000", Zone: "kolkata-a", State: conf.MemberLive,
			Models: []ident.Model{"model-00", "model-01"},
		})
	}
	body, err := json.Marshal(list)
	if err != nil {
		b.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var sent atomic.Int64
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) })}
	go func() { _ = srv.Serve(countedListener{ln, &sent}) }()
	defer func() { _ = srv.Close() }()
	m := NewMachine()
	n, err := New(
		WithConsensus(&singleMember{machine: m, elected: time.Now().Add(-time.Minute)}), WithMachine(m),
		WithLink(link.Config{Name: "s1", Keys: processKeys}), WithMemberListURL("http://"+ln.Addr().String()+"/"),
	)
	if err != nil {
		b.Fatal(err)
	}
	ctx := context.Background()
	e, err := n.currentEpoch(ctx)
	if err != nil {
		b.Fatal(err)
	}
	n.pollMembers(ctx, e) // the first one commits all members
	if got := len(n.ledger.Delta(0).GetEntries()); got != members {
		b.Fatalf("got %d members, want %d", got, members)
	}
	bytes, cpu := sent.Load(), cpuTime()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		n.pollMembers(ctx, e)
	}
	b.StopTimer()
	b.ReportMetric(float64(sent.Load()-bytes)/float64(b.N)/1000, "KB/poll")
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(b.N), "cpu-us/poll")
}

// A list whose head is none that HTTP allows must not change what is recorded.
func TestBrokenMembersAnswer(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n"+`[{"name":"members/a","state":"live"}]`)
	}))
	defer srv.Close()
	if list, err := fetchMembers(t.Context(), srv.URL); err == nil {
		t.Errorf("got the list %v, want an error", list)
	}
}
