package store

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"syscall"
	"testing"
)

func mustOpen(t *testing.T, dir Folder) *Store {
	t.Helper()
	s, err := Open(dir, "m1")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// appendAndSync appends and syncs entries one by one.
func appendAndSync(t *testing.T, s *Store, term uint64, count int) {
	t.Helper()
	for range count {
		i := s.LastIndex() + 1
		if err := s.Append([]Entry{{Index: i, Term: term, Data: fmt.Appendf(nil, "data-%d", i)}}); err != nil {
			t.Fatal(err)
		}
		if err := s.Sync(); err != nil {
			t.Fatal(err)
		}
	}
}

func allEntries(s *Store) []Entry {
	return append([]Entry(nil), s.Entries(s.FirstIndex(), s.LastIndex(), 1<<30)...)
}

// Guards recovery on real files: log, vote, snapshot and identity are read
// again, and a second process or another member is refused.
func TestReopen(t *testing.T) {
	dir, err := OpenFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	s := mustOpen(t, dir)
	if err := s.SaveHardState(HardState{Term: 3, Vote: "m2", ClusterID: "c"}); err != nil {
		t.Fatal(err)
	}
	appendAndSync(t, s, 2, 10)
	// Replaces the entries from 8 on.
	if err := s.Append([]Entry{{Index: 8, Term: 3, Data: []byte("new")}}); err != nil {
		t.Fatal(err)
	}
	if err := s.WriteSnapshot(Snapshot{Index: 5, Term: 2, Roster: []byte("r"), Data: []byte("state")}); err != nil {
		t.Fatal(err)
	}
	if err := s.Compact(5, 2, 2, 1<<20); err != nil {
		t.Fatal(err)
	}
	var locked *Locked
	if _, err := Open(dir, "m1"); !errors.As(err, &locked) {
		t.Errorf("second open: got %v, want Locked", err)
	}
	want, disk := allEntries(s), s.DiskID()
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	var wrongMember *WrongMember
	if _, err := Open(dir, "m2"); !errors.As(err, &wrongMember) {
		t.Errorf("other member: got %v, want WrongMember", err)
	}
	s = mustOpen(t, dir)
	defer func() { _ = s.Close() }()
	got := allEntries(s)
	if got := got[len(got)-len(want):]; !reflect.DeepEqual(got, want) {
		t.Errorf("got log %v, want %v", got, want)
	}
	snap, ok, err := s.ReadSnapshot()
	if !ok || err != nil || string(snap.Data) != "state" || string(snap.Roster) != "r" {
		t.Errorf("got snapshot %+v %v %v", snap, ok, err)
	}
	if got, want := s.HardState(), (HardState{Term: 3, Vote: "m2", ClusterID: "c"}); got != want || s.DiskID() != disk {
		t.Errorf("got %+v on disk %s, want %+v on %s", got, s.DiskID(), want, disk)
	}
}

// Guards against serving a log that lacks acknowledged entries, and against
// refusing one that only has a torn tail.
func TestDamage(t *testing.T) {
	log := segmentName(1)
	const size = recordHeaderBytes + recordFixedBytes + 6 // of a record of appendAndSync, up to entry 9
	cases := map[string]struct {
		damage func(m *MemoryFolder)
		clean  bool // closed before the damage
		last   uint64
		file   string // of the Damaged error
	}{
		"torn tail":               {damage: func(m *MemoryFolder) { m.FlipByte(log, -1) }, last: 8},
		"torn length":             {damage: func(m *MemoryFolder) { m.FlipByte(log, -size+4) }, last: 8},
		"last after a clean stop": {damage: func(m *MemoryFolder) { m.FlipByte(log, 8*size+30) }, clean: true, file: log},
		"middle":                  {damage: func(m *MemoryFolder) { m.FlipByte(log, 4*size+20) }, file: log},
		"length in the middle":    {damage: func(m *MemoryFolder) { m.FlipByte(log, 4*size+6) }, file: log},
		"missing log":             {damage: func(m *MemoryFolder) { _ = m.Remove(log) }, file: log},
		"missing vote":            {damage: func(m *MemoryFolder) { _ = m.Remove(metaName) }, file: metaName},
		"vote":                    {damage: func(m *MemoryFolder) { m.FlipByte(metaName, 15) }, file: metaName},
		"missing identity":        {damage: func(m *MemoryFolder) { _ = m.Remove(identityName) }, file: identityName},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := NewMemoryFolder()
			s := mustOpen(t, m)
			appendAndSync(t, s, 1, 9)
			if c.clean {
				if err := s.Close(); err != nil {
					t.Fatal(err)
				}
			}
			m = m.Crash(rand.New(rand.NewPCG(1, 1)))
			c.damage(m)
			s, err := Open(m, "m1")
			if c.file == "" {
				if err != nil || s.LastIndex() != c.last {
					t.Fatalf("got %v", err)
				}
				// The log continues after the truncated tail.
				appendAndSync(t, s, 2, 3)
				if got := mustOpen(t, m.Crash(rand.New(rand.NewPCG(1, 1)))).LastIndex(); got != c.last+3 {
					t.Errorf("got last %d after the cut, want %d", got, c.last+3)
				}
				return
			}
			var damaged *Damaged
			if !errors.As(err, &damaged) || damaged.File != c.file || !strings.Contains(err.Error(), "replace this member") {
				t.Errorf("got %v, want damage of %s", err, c.file)
			}
		})
	}
}

// Guards against keeping or reporting a part of a write on a full disk.
func TestDiskFull(t *testing.T) {
	m := NewMemoryFolder()
	s := mustOpen(t, m)
	appendAndSync(t, s, 1, 3)
	m.SetFreeSpace(60) // room for the first of two records
	var full *DiskFull
	big := []Entry{{Index: 4, Term: 1}, {Index: 5, Term: 1, Data: make([]byte, 100)}}
	if err := s.Append(big); !errors.As(err, &full) || !errors.Is(err, syscall.ENOSPC) || s.LastIndex() != 3 {
		t.Errorf("append: got %v and last %d", err, s.LastIndex())
	}
	if err := s.WriteSnapshot(Snapshot{Index: 3, Term: 1}); !errors.As(err, &full) {
		t.Errorf("snapshot: got %v", err)
	}
	if err := s.SaveHardState(HardState{Term: 9, Vote: "a-very-long-name"}); !errors.As(err, &full) || s.HardState().Term != 0 {
		t.Errorf("vote: got %v", err)
	}
	m.SetFreeSpace(-1)
	if got := mustOpen(t, m.Crash(rand.New(rand.NewPCG(1, 1)))).LastIndex(); got != 3 {
		t.Errorf("got last %d after a restart, want 3 without the refused entries", got)
	}
	appendAndSync(t, s, 1, 1)
	s = mustOpen(t, m.Crash(rand.New(rand.NewPCG(1, 1))))
	if got := s.LastIndex(); got != 4 || s.HardState().Term != 0 {
		t.Errorf("got last %d, term %d", got, s.HardState().Term)
	}
}

// Guards against trusting a disk after a failed fsync: a later fsync may
// succeed although the pages were dropped.
func TestFailedSync(t *testing.T) {
	m := NewMemoryFolder()
	s := mustOpen(t, m)
	appendAndSync(t, s, 1, 1)
	if err := s.Append([]Entry{{Index: 2, Term: 1}}); err != nil {
		t.Fatal(err)
	}
	m.FailSync(syscall.EIO)
	var syncFailed *SyncFailed
	if err := s.Sync(); !errors.As(err, &syncFailed) {
		t.Errorf("got %v, want SyncFailed", err)
	}
	m.FailSync(nil)
	for name, err := range map[string]error{
		"sync": s.Sync(), "append": s.Append([]Entry{{Index: 3, Term: 1}}), "vote": s.SaveHardState(HardState{Term: 1}),
		"snapshot": s.WriteSnapshot(Snapshot{Index: 1, Term: 1}),
	} {
		if !errors.As(err, &syncFailed) {
			t.Errorf("%s after the failed sync: got %v, want SyncFailed", name, err)
		}
	}
}

// Guards the durability of everything acknowledged, under random operations
// with crashes at any point that lose unsynced bytes.
func TestRandomCrashes(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		m := NewMemoryFolder()
		s := mustOpen(t, m)
		term := uint64(1)
		durable := map[uint64]Entry{} // acknowledged and not replaced
		snapshotIndex := uint64(0)    // snapshots hold committed entries, which are never replaced
		for range 60 {
			switch rng.IntN(8) {
			case 0:
				m = m.Crash(rng)
				s = mustOpen(t, m)
				term++
			case 1:
				at := s.LastIndex()
				at -= min(at, uint64(rng.IntN(10)))
				if at > snapshotIndex && s.Sync() == nil {
					snapshotTerm, _ := s.Term(at)
					snapshotIndex = at
					if err := s.WriteSnapshot(Snapshot{Index: at, Term: snapshotTerm}); err != nil {
						t.Fatal(err)
					}
					if rng.IntN(3) > 0 { // else the crash comes before Compact
						if err := s.Compact(at, snapshotTerm, uint64(rng.IntN(4)), 1<<20); err != nil {
							t.Fatal(err)
						}
					}
				}
			case 2:
				// Replaces an end of the log, as a new leader does.
				from := max(snapshotIndex, s.FirstIndex()) + 1
				if s.LastIndex() > from {
					term++
					from += uint64(rng.IntN(int(s.LastIndex() - from)))
					for i := from; i <= s.LastIndex(); i++ {
						delete(durable, i)
					}
					if err := s.Append([]Entry{{Index: from, Term: term, Data: []byte("new")}}); err != nil {
						t.Fatal(err)
					}
				}
			case 3:
				// Starts another segment.
				if rng.IntN(3) == 0 && s.Sync() == nil {
					if err := s.startSegment(); err != nil {
						t.Fatal(err)
					}
				}
			default:
				for range rng.IntN(5) {
					e := Entry{Index: s.LastIndex() + 1, Term: term, Data: fmt.Appendf(nil, "%d", rng.Uint64())}
					if err := s.Append([]Entry{e}); err != nil {
						t.Fatal(err)
					}
				}
				if rng.IntN(2) == 0 {
					if err := s.Sync(); err != nil {
						t.Fatal(err)
					}
					for _, e := range allEntries(s) {
						durable[e.Index] = e
					}
				}
			}
			snap, _, _ := s.LastSnapshot()
			for i, want := range durable {
				if got := s.Entries(i, i, 0); i > snap && (len(got) != 1 || !reflect.DeepEqual(got[0], want)) {
					t.Fatalf("seed %d: entry %d is %v, acknowledged was %v", seed, i, got, want)
				}
			}
		}
	}
}

// Guards recovery from a crash between the install of a received snapshot and
// the reset of the log that it replaces.
func TestInstallOverOldLog(t *testing.T) {
	source := NewMemoryFolder()
	from := mustOpen(t, source)
	if err := from.WriteSnapshot(Snapshot{Index: 7, Term: 5, Data: []byte("state")}); err != nil {
		t.Fatal(err)
	}
	file, err := from.readFile(snapName(7, 5))
	if err != nil {
		t.Fatal(err)
	}
	for name, count := range map[string]int{"short log": 3, "conflicting log": 9} {
		t.Run(name, func(t *testing.T) {
			m := NewMemoryFolder()
			s := mustOpen(t, m)
			appendAndSync(t, s, 1, count)
			in, err := s.ReceiveSnapshot(7, 5, int64(len(file)))
			if err != nil {
				t.Fatal(err)
			}
			if err := in.Write(file); err != nil {
				t.Fatal(err)
			}
			if err := s.commitFile(in.f, incomingName, snapName(7, 5)); err != nil {
				t.Fatal(err)
			}
			s = mustOpen(t, m.Crash(rand.New(rand.NewPCG(1, 1))))
			if s.FirstIndex() != 8 || s.LastIndex() != 7 {
				t.Errorf("got log %d to %d, want none after 7", s.FirstIndex(), s.LastIndex())
			}
			appendAndSync(t, s, 6, 1)
			if got, ok := s.Term(7); !ok || got != 5 {
				t.Errorf("got term %d %v at the snapshot, want 5", got, ok)
			}
		})
	}
}

// TestLargeEntriesFitOnDisk guards against a log that keeps many large entries
// after a snapshot until the disk is full and no entry is accepted any more.
func TestLargeEntriesFitOnDisk(t *testing.T) {
	const (
		diskBytes     = 64 << 20
		entryBytes    = 283 << 10
		snapshotBytes = 16 << 20 // of entries between two snapshots
		entries       = 600
	)
	s := mustOpen(t, NewMemoryFolder())
	data := bytes.Repeat([]byte("x"), entryBytes)
	since := 0
	for i := uint64(1); i <= entries; i++ {
		if err := s.Append([]Entry{{Index: i, Term: 1, Data: data}}); err != nil {
			t.Fatalf("entry %d: %v", i, err)
		}
		if err := s.Sync(); err != nil {
			t.Fatal(err)
		}
		if used := usedBytes(t, s); used > diskBytes {
			t.Fatalf("got %d bytes on the disk after %d entries, want at most %d", used, i, diskBytes)
		}
		if since += entryBytes; since < snapshotBytes {
			continue
		}
		since = 0
		if err := s.WriteSnapshot(Snapshot{Index: i, Term: 1, Data: data}); err != nil {
			t.Fatalf("snapshot at %d: %v", i, err)
		}
		if err := s.Compact(i, 1, 1000, 4<<20); err != nil {
			t.Fatal(err)
		}
		if kept := int(s.LastIndex() - s.FirstIndex() + 1); kept > 4<<20/entryBytes {
			t.Errorf("got %d entries kept after the snapshot at %d, want at most 4 MiB", kept, i)
		}
	}
}

// usedBytes returns the bytes of all files in the folder of a store.
func usedBytes(t *testing.T, s *Store) (sum int64) {
	names, err := s.dir.List()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		sum += s.fileSize(name)
	}
	return sum
}
