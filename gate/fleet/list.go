package fleet

import (
	"hash"
	"slices"
	"strings"
	"time"

	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
	"citronledge.example/gate/share"
	"citronledge.example/platform"
	"github.com/cespare/xxhash/v2"
)

const (
	// minReadingGap is how much later than the list in use another list must
	// have been read to replace it. The network latency of datagrams makes a
	// reading look later than it was.
	minReadingGap = 400 * time.Millisecond
	// missingListTimeout is how long a gate waits for a newer list that another
	// gate has before it reads the list itself.
	missingListTimeout = 600 * time.Millisecond
	// missingDelayShare is the part of a gate's delay for reading the list by
	// which it waits longer than missingListTimeout, so that not all read at
	// once.
	missingDelayShare = 0.25
	// maxReaders limits the gates whose readings are remembered.
	maxReaders = 1000
)

// listState is the list of backend servers and how current it is. Fleet.mu
// guards it.
type listState struct {
	reading share.Reading // the last one that had this list
	servers []platform.ListedBackend
	cold    listedColds // of the servers
	// noted is the number of the last reading of each gate that was processed.
	// Gates that missed a new list would else confirm the old one to each other
	// forever, as each confirmation looks later than it was.
	noted        map[uint64]uint32
	reader       uint64    // identifies the readings of this gate
	number       uint32    // of its last reading
	missingSince time.Time // since when another gate has had a newer list; zero if none has
	newestReadAt time.Time // when the newest list known here or reported by another gate was read
	// parts are the parts of a newer list that have arrived, by index.
	parts       map[uint32][]platform.ListedBackend
	partsCold   listedColds
	partsDigest uint64 // of the whole newer list
}

// SetList stores the list that this gate has read.
func (f *Fleet) SetList(list []platform.ListedBackend, now time.Time) {
	if list, changed := f.storeReading(list, now); changed {
		f.Update(list)
	}
}

// storeReading stores the list that this gate has read, and reports whether it is
// another one.
func (f *Fleet) storeReading(list []platform.ListedBackend, now time.Time) (noted []platform.ListedBackend, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list.number++
	noted, cold := f.noteListedColds(list, now)
	return noted, f.setList(share.Reading{Digest: listDigest(noted, cold), At: now, Reader: f.list.reader, Number: f.list.number}, noted, cold)
}

// setList stores a reading and its list, and reports whether the list is
// another one. It must be called with mu held.
func (f *Fleet) setList(r share.Reading, list []platform.ListedBackend, cold listedColds) (changed bool) {
	l := &f.list
	changed = r.Digest != l.reading.Digest
	l.reading, l.servers, l.missingSince, l.newestReadAt = r, list, time.Time{}, r.At
	l.cold = cold
	l.parts, l.partsCold, l.partsDigest = nil, nil, 0
	return changed
}

// NextListRead returns when this gate is to read the list itself, unless it
// gets a newer reading from another gate before: interval after the last
// reading, and delay later.
func (f *Fleet) NextListRead(interval, delay time.Duration) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	due := f.list.reading.At.Add(interval + delay)
	if since := f.list.missingSince; !since.IsZero() {
		missing := since.Add(missingListTimeout + time.Duration(missingDelayShare*float64(delay)))
		if missing.Before(due) {
			due = missing
		}
	}
	return due
}

// ListReading implements share.ServerList.
func (f *Fleet) ListReading() share.Reading {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list.reading
}

// NoteReading implements share.ServerList.
func (f *Fleet) NoteReading(r share.Reading) (missing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := &f.list
	if r.Digest == l.reading.Digest {
		if l.isNews(r) && r.At.After(l.reading.At) {
			l.note(r)
			// A confirmation that is older than a newer list proves nothing.
			if !l.newestReadAt.After(r.At) {
				l.reading, l.missingSince = r, time.Time{}
			}
		}
		return false
	}
	if !l.isNews(r) || !r.At.After(l.reading.At.Add(minReadingGap)) {
		return false
	}
	if r.At.After(l.newestReadAt) {
		l.newestReadAt = r.At
	}
	if l.missingSince.IsZero() {
		l.missingSince = time.Now()
	}
	return true
}

// isNews reports whether a reading has not been processed yet.
func (l *listState) isNews(r share.Reading) bool {
	number, ok := l.noted[r.Reader]
	return r.Reader != l.reader && (!ok || r.Number > number)
}

func (l *listState) note(r share.Reading) {
	if l.noted == nil || len(l.noted) >= maxReaders {
		l.noted = map[uint64]uint32{}
	}
	l.noted[r.Reader] = r.Number
}

// bucketOf returns the part of the list that a server belongs to.
func bucketOf(id ident.Backend) uint32 {
	return uint32(xxhash.Sum64String(string(id)) % share.ListBuckets)
}

// buckets divides a list into its parts.
func buckets(list []platform.ListedBackend) [][]platform.ListedBackend {
	parts := make([][]platform.ListedBackend, share.ListBuckets)
	for _, x := range list {
		i := bucketOf(x.ID)
		parts[i] = append(parts[i], x)
	}
	return parts
}

// BucketDigests implements share.ServerList.
func (f *Fleet) BucketDigests() []uint32 {
	f.mu.Lock()
	defer f.mu.Unlock()
	digests := make([]uint32, share.ListBuckets)
	for i, part := range buckets(f.list.servers) {
		digests[i] = uint32(listDigest(part, f.list.cold))
	}
	return digests
}

// DifferingBuckets implements share.ServerList.
func (f *Fleet) DifferingBuckets(digests []uint32) []*wire.Bucket {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*wire.Bucket
	now := time.Now()
	for i, part := range buckets(f.list.servers) {
		if uint32(listDigest(part, f.list.cold)) == digests[i] {
			continue
		}
		b := &wire.Bucket{Index: uint32(i)}
		for _, x := range part {
			c := f.list.cold[x.ID]
			b.Servers = append(b.Servers, &wire.Listed{
				Id: string(x.ID), Service: string(x.Service), Address: x.Address, Zone: string(x.Zone), Version: string(x.Version),
				Slots: uint32(x.Slots), Leaving: x.Leaving, Born: x.Born, Cold: c.leftMillis(now), Named: x.ColdNamed, Mark: c.mark,
			})
		}
		list = append(list, b)
	}
	return list
}

// MergeBuckets implements share.ServerList.
func (f *Fleet) MergeBuckets(r share.Reading, parts []*wire.Bucket) {
	if list, complete := f.mergeParts(r, parts); complete {
		f.Update(list)
	}
}

// mergeParts stores parts of a newer list, and returns the list once it is complete.
func (f *Fleet) mergeParts(r share.Reading, parts []*wire.Bucket) (list []platform.ListedBackend, complete bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := &f.list
	if r.Digest == l.reading.Digest || !l.isNews(r) || !r.At.After(l.reading.At.Add(minReadingGap)) {
		return nil, false
	}
	if l.partsDigest != r.Digest {
		l.parts, l.partsCold, l.partsDigest = map[uint32][]platform.ListedBackend{}, listedColds{}, r.Digest
	}
	now := time.Now()
	for _, b := range parts {
		part := make([]platform.ListedBackend, 0, len(b.GetServers()))
		for _, x := range b.GetServers() {
			part = append(part, platform.ListedBackend{
				ID: ident.Backend(x.GetId()), Service: ident.Service(x.GetService()), Address: x.GetAddress(), Zone: ident.Zone(x.GetZone()),
				Version: ident.Version(x.GetVersion()), Slots: int(x.GetSlots()), Leaving: x.GetLeaving(),
				Born: x.GetBorn(), ColdNamed: x.GetNamed(),
			})
			l.partsCold.add(ident.Backend(x.GetId()), x.GetMark(), time.Duration(x.GetCold())*time.Millisecond, now)
		}
		l.parts[b.GetIndex()] = part
	}
	cold := listedColds{}
	for i, part := range buckets(l.servers) {
		from := l.cold
		if newer, ok := l.parts[uint32(i)]; ok {
			part, from = newer, l.partsCold
		}
		list = append(list, part...)
		cold.copy(from, part)
	}
	if listDigest(list, cold) != r.Digest {
		return nil, false // parts are missing
	}
	l.note(r)
	f.setList(r, list, cold)
	return list, true
}

// listDigest returns a digest of a list, whatever its order.
func listDigest(list []platform.ListedBackend, cold listedColds) uint64 {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b platform.ListedBackend) int { return strings.Compare(string(a.ID), string(b.ID)) })
	h := xxhash.New()
	for _, l := range sorted {
		hashStrings(h, string(l.ID), string(l.Service), l.Address, string(l.Zone), string(l.Version))
		_, _ = h.Write([]byte{byte(l.Slots), byte(l.Slots >> 8), b2i(l.Leaving)})
		hashCold(h, l.Born, cold[l.ID].mark)
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
