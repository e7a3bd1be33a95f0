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
	// announceTimes is how often a new list is sent to the other gates, since a
	// datagram may be lost.
	announceTimes = 2
	// minReadingGap is the least difference between two readings of the list.
	// The network latency of a datagram makes a reading look later than it was;
	// without this bound, gates that missed a new list would confirm the old
	// one to each other forever.
	minReadingGap = 400 * time.Millisecond
	// missingListTimeout is how long a gate waits for a newer list that another
	// gate has before it reads the list itself.
	missingListTimeout = 300 * time.Millisecond
)

// listState is the list of backend servers and how current it is. Fleet.mu
// guards it.
type listState struct {
	digest            uint64
	servers           []platform.ListedBackend
	readAt            time.Time // when this list was last known to be current
	announcementsLeft int       // datagrams that still carry the list
	missingSince      time.Time // since when another gate has had a newer list; zero if none has
	newestReadAt      time.Time // when the newest list known here or reported by another gate was read
}

// SetList stores the list that this gate has read.
func (f *Fleet) SetList(list []platform.ListedBackend, now time.Time) {
	digest := listDigest(list)
	f.mu.Lock()
	changed := digest != f.list.digest
	f.list.readAt, f.list.missingSince, f.list.newestReadAt = now, time.Time{}, now
	if changed {
		f.list.digest, f.list.servers, f.list.announcementsLeft = digest, list, announceTimes
	}
	f.mu.Unlock()
	if changed {
		f.Update(list)
	}
}

// NextListRead returns when this gate is to read the list itself, unless it
// gets a newer reading from another gate before: interval after the last
// reading for the gate of rank 0, and pause later for each further rank.
func (f *Fleet) NextListRead(rank int, interval, pause time.Duration) time.Time {
	const maxRank = 3 // gates of a higher rank don't wait longer
	f.mu.Lock()
	defer f.mu.Unlock()
	due := f.list.readAt.Add(interval + time.Duration(min(rank, maxRank))*pause)
	if since := f.list.missingSince; !since.IsZero() && since.Add(missingListTimeout).Before(due) {
		due = since.Add(missingListTimeout)
	}
	return due
}

// ListAnnouncement implements share.ServerList.
func (f *Fleet) ListAnnouncement() (digest uint64, read time.Time, list []*wire.Listed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := &f.list
	if l.announcementsLeft > 0 {
		l.announcementsLeft--
		for _, x := range l.servers {
			list = append(list, &wire.Listed{
				Id: string(x.ID), Service: string(x.Service), Address: x.Address, Zone: string(x.Zone), Version: string(x.Version),
				Slots: uint32(x.Slots), Leaving: x.Leaving,
			})
		}
	}
	return l.digest, l.readAt, list
}

// AdoptList implements share.ServerList.
func (f *Fleet) AdoptList(digest uint64, read time.Time, announced []*wire.Listed) {
	f.mu.Lock()
	l := &f.list
	switch {
	case !read.After(l.readAt.Add(minReadingGap)):
		f.mu.Unlock()
		return
	case digest == l.digest:
		// A confirmation that is older than a newer list proves nothing.
		if !l.newestReadAt.After(read) {
			l.readAt, l.missingSince = read, time.Time{}
		}
		f.mu.Unlock()
		return
	case len(announced) == 0:
		l.newestReadAt = latest(l.newestReadAt, read)
		if l.missingSince.IsZero() {
			l.missingSince = time.Now()
		}
		f.mu.Unlock()
		return
	}
	list := make([]platform.ListedBackend, 0, len(announced))
	for _, x := range announced {
		list = append(list, platform.ListedBackend{
			ID: ident.Backend(x.GetId()), Service: ident.Service(x.GetService()), Address: x.GetAddress(), Zone: ident.Zone(x.GetZone()),
			Version: ident.Version(x.GetVersion()), Slots: int(x.GetSlots()), Leaving: x.GetLeaving(),
		})
	}
	if listDigest(list) != digest {
		f.mu.Unlock()
		klog.InfoS("List of another gate does not match its digest; ignored", "entries", len(list))
		return
	}
	l.digest, l.servers, l.readAt, l.missingSince, l.newestReadAt, l.announcementsLeft = digest, list, read, time.Time{}, read, 0
	f.mu.Unlock()
	f.Update(list)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// listDigest returns a digest of a list, whatever its order.
func listDigest(list []platform.ListedBackend) uint64 {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b platform.ListedBackend) int { return strings.Compare(string(a.ID), string(b.ID)) })
	h := xxhash.New()
	for _, l := range sorted {
		hashStrings(h, string(l.ID), string(l.Service), l.Address, string(l.Zone), string(l.Version))
		_, _ = h.Write([]byte{byte(l.Slots), byte(l.Slots >> 8), b2i(l.Leaving)})
	}
	return max(1, h.Sum64()) // 0 stands for none
}

// hashStrings adds strings to a hash, each with an end; a hash never fails.
func hashStrings(h hash.Hash, list ...string) {
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
