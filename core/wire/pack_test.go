package wire

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
)

// A configuration of a thousand routes must take a small part of a link when it
// is pushed to a hundred gates, and arrive unchanged.
func TestPackDelta(t *testing.T) {
	var routes strings.Builder
	for i := range 1000 {
		fmt.Fprintf(&routes, `{"name":"r-%07x","host":"h%d.example","path-prefix":"/p%x/","type":"streaming","timeout-ms":20000,"service":"pool"},`, i*7919, i%5, i*104729)
	}
	large := &Delta{From: 3, Revision: 5, Full: true, Entries: []*Entry{{Key: "document", Value: []byte(routes.String()), Revision: 5}, {Key: "gone", Gone: true}}}
	small := &Delta{From: 3, Revision: 4, Entries: []*Entry{{Key: "a", Value: []byte("1")}}}
	for name, c := range map[string]struct {
		delta    *Delta
		maxShare float64 // of the size
	}{"large": {large, 0.25}, "small": {small, 1}, "empty": {&Delta{Revision: 7}, 1}} {
		packed := c.delta.Pack()
		if got := float64(proto.Size(packed)) / float64(proto.Size(c.delta)); got > c.maxShare {
			t.Errorf("%s: packed to %.2f of its size, want at most %v", name, got, c.maxShare)
		}
		got, err := packed.Unpack()
		if err != nil || !proto.Equal(got, c.delta) {
			t.Errorf("%s: got another delta back (%v)", name, err)
		}
	}
	for name, data := range map[string][]byte{"not compressed": []byte("x"), "cut off": large.Pack().GetPacked()[:50]} {
		if _, err := (&Delta{Packed: data}).Unpack(); err == nil {
			t.Errorf("%s: got no error", name)
		}
	}
}
