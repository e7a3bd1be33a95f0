package client

import "slices"

// maxAddresses bounds the number of addresses of state processes that a client
// keeps.
const maxAddresses = 32

// addressBook holds the addresses of state processes that a client tries. When it
// is full, a new address replaces the one that was named longest ago.
type addressBook struct {
	list  []address
	steps int // counts the events that address refers to
	picks int
}

// address is one entry of an address book.
type address struct {
	addr   string
	member bool // in the last list of members that the cluster gave
	named  int  // step at which it was last named by the cluster, the settings or itself
	tried  int  // step at which it was last tried; 0 if never
}

// newAddressBook returns a book of the addresses of the settings, which are tried
// in their order.
func newAddressBook(addrs []string) addressBook {
	var b addressBook
	for _, addr := range addrs {
		b.add(addr)
	}
	for i := range b.list {
		b.list[i].named = 0
	}
	return b
}

// add names an address. It returns whether the address is new, and the one that
// it replaces, if any.
func (b *addressBook) add(addr string) (added bool, replaced string) {
	if addr == "" {
		return false, ""
	}
	b.steps++
	if i := b.index(addr); i >= 0 {
		b.list[i].named = b.steps
		return false, ""
	}
	if len(b.list) >= maxAddresses {
		i := b.longestUnnamed()
		replaced = b.list[i].addr
		b.list = slices.Delete(b.list, i, i+1)
	}
	b.list = append(b.list, address{addr: addr, named: b.steps})
	return true, replaced
}

// setMembers marks the addresses that the cluster names as its members; the
// marks of its last list end.
func (b *addressBook) setMembers(addrs []string) {
	for i := range b.list {
		b.list[i].member = slices.Contains(addrs, b.list[i].addr)
	}
}

// next returns the address to try next. Members come before other processes,
// which may have ended long ago, but one of these is tried after each round of
// the members: all members may have been replaced meanwhile.
func (b *addressBook) next() string {
	members := 0
	for _, a := range b.list {
		if a.member {
			members++
		}
	}
	others := b.picks%(members+1) == members
	b.picks++
	best := -1
	for i, a := range b.list {
		if a.member != others && (best < 0 || a.isBefore(b.list[best])) {
			best = i
		}
	}
	if best < 0 { // all are members
		return b.next()
	}
	addr := b.list[best].addr
	b.markTried(addr)
	return addr
}

// isBefore reports whether a is tried before o: what was tried longest ago comes
// first, and of addresses that were not tried yet the one named last.
func (a address) isBefore(o address) bool {
	if a.tried != o.tried {
		return a.tried < o.tried
	}
	return a.named > o.named
}

// markTried puts an address behind those that were tried longer ago.
func (b *addressBook) markTried(addr string) {
	b.steps++
	if i := b.index(addr); i >= 0 {
		b.list[i].tried = b.steps
	}
}

func (b *addressBook) index(addr string) int {
	return slices.IndexFunc(b.list, func(a address) bool { return a.addr == addr })
}

// longestUnnamed returns the index of the entry to give up: no member, if
// possible.
func (b *addressBook) longestUnnamed() int {
	worst := 0
	for i, a := range b.list {
		w := b.list[worst]
		if w.member && !a.member || w.member == a.member && a.named < w.named {
			worst = i
		}
	}
	return worst
}
