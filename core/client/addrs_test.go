package client

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"

	"citronledge.example/core/link"
	"citronledge.example/core/wire"
)

// TestLearnsAddressesForever guards against a client that has known many state
// processes and learns no more: once those are gone, it finds none, and its
// process goes on with an old configuration.
func TestLearnsAddressesForever(t *testing.T) {
	peers := func(round int) (list []*wire.Peer) {
		for i := range 3 {
			list = append(list, &wire.Peer{Addr: fmt.Sprintf("member-%d-%d", round, i)})
		}
		return list
	}
	for name, learn := range map[string]func(c *Client, round int){
		"members": func(c *Client, round int) { c.SetMembers(peers(round)) },
		"settings": func(c *Client, round int) {
			for _, p := range peers(round) {
				c.AddAddress(p.GetAddr())
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			const rounds = 20
			var dialled []string
			c, err := New(WithAddresses("seed"), WithLink(link.Config{Name: "gate"}), WithDialer(func(_ context.Context, addr string) (*link.Session, error) {
				dialled = append(dialled, addr)
				return nil, errors.New("gone")
			}))
			if err != nil {
				t.Fatal(err)
			}
			for round := range rounds {
				learn(c, round)
			}
			for range 8 {
				_, _ = c.connect(t.Context())
			}
			for _, p := range peers(rounds - 1) {
				if !slices.Contains(dialled, p.GetAddr()) {
					t.Errorf("%s was learnt last and not tried in 8 attempts: %q", p.GetAddr(), dialled)
				}
			}
			for range 2 * maxAddresses * 4 {
				_, _ = c.connect(t.Context())
			}
			tried := slices.Compact(slices.Sorted(slices.Values(dialled)))
			if len(tried) != maxAddresses {
				t.Errorf("got %d addresses tried in the end, want all %d that are known", len(tried), maxAddresses)
			}
		})
	}
}

// A member that is still in the settings, or whose address the cluster names
// again and again, must not be given up for processes that come and go.
func TestKeepsMembers(t *testing.T) {
	var b addressBook
	b.add("member")
	b.setMembers([]string{"member"})
	b.add("seed")
	for i := range 100 {
		b.add(fmt.Sprint("passing-", i))
		b.add("seed")
	}
	for _, want := range []string{"member", "seed", "passing-99"} {
		if b.index(want) < 0 {
			t.Errorf("%s was given up", want)
		}
	}
	if got := len(b.list); got != maxAddresses {
		t.Errorf("got %d addresses, want %d", got, maxAddresses)
	}
}

// An unresponsive process must not be tried again before the others, and no
// address waits for ever.
func TestNextAddress(t *testing.T) {
	for name, x := range map[string]struct {
		members []string
		want    string // the first nine
	}{
		"no members known": {nil, "a b c d a b c d a"},
		"two members":      {[]string{"b", "c"}, "b c a b c d b c a"},
		"members only":     {[]string{"a", "b", "c", "d"}, "a b c d a b c d a"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newAddressBook([]string{"a", "b", "c", "d"})
			b.setMembers(x.members)
			got := ""
			for range 9 {
				got += " " + b.next()
			}
			if got[1:] != x.want {
				t.Errorf("got %q, want %q", got[1:], x.want)
			}
		})
	}
}
