package share

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
	"citronledge.example/core/wire"
)

// What all members of a group tell at once, as after the start of many gates, must
// fit into the datagram of their relay, which would be lost otherwise.
func TestNewsOfGroupFitsDatagram(t *testing.T) {
	const perGate = 256
	var all news
	for g := range maxGroup {
		var w news
		for i := range perGate {
			part := ident.PromptPart(uint64(g*perGate+i) << 40)
			w.sound = append(w.sound, part)
			w.crashes = append(w.crashes, policy.Crash{Server: uint32(part), Request: uint64(part), Parts: []ident.PromptPart{part, part + 1, part + 2}, Weak: true, Ran: time.Second})
		}
		all.add(w)
		all.add(w) // each gate sends its news twice
	}
	l := &wire.Loads{}
	putNews(l, all, time.Now())
	if got := proto.Size(l); got > maxDatagramBytes/2 {
		t.Errorf("got %d bytes, want at most %d, half of a datagram", got, maxDatagramBytes/2)
	}
	if got := len(l.GetSound()); got != maxSound {
		t.Errorf("got %d sound parts, want %d", got, maxSound)
	}
}
