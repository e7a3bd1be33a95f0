package fleet

import (
	"hash"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
	"citronledge.example/platform"
)

const (
	// tellTimes is how often a new list is sent to the other gates: a datagram
	// may be lost.
	tellTimes = 2
	// sameReading is the least difference between two readings. The way of a
	// datagram makes a reading look later; without a bound, gates that missed a
	// new list would confirm the old one to each other for ever.
	sameReading = 400 * time.Millisecond
	// missTime is how long a gate waits for a list that another one has before
	// it reads the list itself.
	missTime = 300 * time.Millisecond
)

// listed is the state of the list of backend servers. Fleet.mu guards it.
type listed struct {
	digest uint64
	list   []platform.Listed
	read   time.Time // when this list was last seen to hold
	tell   int       // datagrams that still carry it
	missed time.Time // since when another gate holds a newer one; zero if none does
	newer  time.Time // when the newest list that another gate told of was read
}

// SetList takes a list that this gate has read.
func (f *Fleet) SetList(list []platform.Listed, now time.Time) {
	digest := digestOf(list)
	f.mu.Lock()
	changed := digest != f.listed.digest
	f.listed.read, f.listed.missed, f.listed.newer = now, time.Time{}, now
	if changed {
		f.listed.digest, f.listed.list, f.listed.tell = digest, list, tellTimes
	}
	f.mu.Unlock()
	if changed {
		f.Update(list)
	}
}

// NextListRead returns when this gate reads the list itself, unless another one does
// before: every interval for the first gate, a pause later for each next one.
func (f *Fleet) NextListRead(rank int, interval, pause time.Duration) time.Time {
	const last = 3 // later gates don't wait longer
	f.mu.Lock()
	defer f.mu.Unlock()
	due := f.listed.read.Add(interval + time.Duration(min(rank, last))*pause)
	if m := f.listed.missed; !m.IsZero() && m.Add(missTime).Before(due) {
		due = m.Add(missTime)
	}
	return due
}

// ListAnnouncement implements share.ServerList.
func (f *Fleet) ListAnnouncement() (digest uint64, read time.Time, list []*wire.Listed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := &f.listed
	if l.tell > 0 {
		l.tell--
		for _, x := range l.list {
			list = append(list, &wire.Listed{
				Id: string(x.ID), Service: string(x.Service), Address: x.Address, Zone: string(x.Zone), Version: string(x.Version),
				Slots: uint32(x.Slots), Leaving: x.Leaving,
			})
		}
	}
	return l.digest, l.read, list
}

// AdoptList implements share.ServerList.
func (f *Fleet) AdoptList(digest uint64, read time.Time, told []*wire.Listed) {
	f.mu.Lock()
	l := &f.listed
	switch {
	case !read.After(l.read.Add(sameReading)):
		f.mu.Unlock()
		return
	case digest == l.digest:
		// A confirmation from before a newer list proves nothing.
		if !l.newer.After(read) {
			l.read, l.missed = read, time.Time{}
		}
		f.mu.Unlock()
		return
	case len(told) == 0:
		l.newer = later(l.newer, read)
		if l.missed.IsZero() {
			l.missed = time.Now()
		}
		f.mu.Unlock()
		return
	}
	list := make([]platform.Listed, 0, len(told))
	for _, x := range told {
		list = append(list, platform.Listed{
			ID: ident.Backend(x.GetId()), Service: ident.Service(x.GetService()), Address: x.GetAddress(), Zone: ident.Zone(x.GetZone()),
			Version: ident.Version(x.GetVersion()), Slots: int(x.GetSlots()), Leaving: x.GetLeaving(),
		})
	}
	if digestOf(list) != digest {
		f.mu.Unlock()
		klog.InfoS("List of another gate does not match its digest; left out", "entries", len(list))
		return
	}
	l.digest, l.list, l.read, l.missed, l.newer, l.tell = digest, list, read, time.Time{}, read, 0
	f.mu.Unlock()
	f.Update(list)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// digestOf returns a digest of a list, whatever its order.
func digestOf(list []platform.Listed) uint64 {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b platform.Listed) int { return strings.Compare(string(a.ID), string(b.ID)) })
	h := xxhash.New()
	for _, l := range sorted {
		put(h, string(l.ID), string(l.Service), l.Address, string(l.Zone), string(l.Version))
		_, _ = h.Write([]byte{byte(l.Slots), byte(l.Slots >> 8), b2i(l.Leaving)})
	}
	return max(1, h.Sum64()) // 0 stands for none
}

// put adds strings to a hash, each with an end; a hash never fails.
func put(h hash.Hash, list ...string) {
	for _, s := range list {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
}

func b2i(b bool) byte {
	if b {
		return 1
	}
	return 0
}
