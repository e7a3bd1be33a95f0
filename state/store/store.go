// Package store keeps the log, the snapshot and the vote of one member of the
// state cluster in one data folder.
//
// Append writes and Sync makes durable, so that many entries share one fsync.
// Nothing is acknowledged before Sync, SaveMeta or WriteSnapshot returned nil.
// Methods are for one goroutine, except those that say otherwise.
package store

import (
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// SegmentBytes is the length in bytes at which a new segment is started.
const SegmentBytes = 16 << 20

// Store is an open data folder.
type Store struct {
	dir  Folder
	lock io.Closer
	id   identity
	meta HardState

	// The entries after base are in memory. baseTerm is the term of base.
	base, baseTerm uint64
	entries        []Entry

	segments []segment // oldest first; the last one is written
	file     File      // of the last segment
	size     int64     // of the last segment
	synced   int64     // of the last segment
	buf      []byte

	snapIndex, snapTerm uint64
	snapSize            int64

	mu     sync.Mutex // guards broken
	broken error
}

type segment struct {
	number uint64
	max    uint64 // highest index of its records
}

// Open locks and recovers a data folder; a blank one gets the identity of the
// named member on a new disk. A torn tail of the log is cut; Damaged refuses
// a folder that lacks acknowledged content.
func Open(dir Folder, name string) (*Store, error) {
	lock, err := dir.Lock()
	if err != nil {
		return nil, err
	}
	s := &Store{dir: dir, lock: lock}
	if err := s.open(name); err != nil {
		if s.file != nil {
			_ = s.file.Close()
		}
		_ = lock.Close()
		return nil, err
	}
	return s, nil
}

func (s *Store) open(name string) error {
	if err := s.identify(name); err != nil {
		return err
	}
	if err := s.recoverSnapshot(); err != nil {
		return err
	}
	return s.recoverLog()
}

// Close writes a mark that all is durable and releases the folder.
func (s *Store) Close() error {
	if s.Err() == nil && s.Sync() == nil && s.size > 0 {
		s.buf = appendRecord(s.buf[:0], record{typ: typeMark, synced: s.synced})
		// The mark only sharpens the detection of damage.
		_, _ = s.file.WriteAt(s.buf, s.size)
		_ = s.file.Sync()
	}
	err := s.file.Close()
	if e := s.lock.Close(); err == nil {
		err = e
	}
	return err
}

// Err returns the Broken error after a failed fsync. It is safe for
// concurrent use.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken
}

// fail makes the store unusable.
func (s *Store) fail(cause error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken == nil {
		s.broken = &SyncFailed{Cause: cause}
	}
	return s.broken
}

// FirstIndex returns the index of the first entry in memory, which may be one
// more than Last.
func (s *Store) FirstIndex() uint64 { return s.base + 1 }

// LastIndex returns the index of the last entry.
func (s *Store) LastIndex() uint64 { return s.base + uint64(len(s.entries)) }

// Term returns the term of an entry, or false if it is not known.
func (s *Store) Term(index uint64) (uint64, bool) {
	switch {
	case index == s.base:
		return s.baseTerm, true
	case index > s.base && index <= s.LastIndex():
		return s.entries[index-s.base-1].Term, true
	}
	return 0, false
}

// Entries returns entries from index up to last, as many as fit into limit
// bytes, but at least one. The result must not be changed.
func (s *Store) Entries(index, last uint64, limit int) []Entry {
	if index <= s.base || index > last || last > s.LastIndex() {
		return nil
	}
	list := s.entries[index-s.base-1 : last-s.base : last-s.base]
	size := 0
	for i := range list {
		size += len(list[i].Data)
		if size > limit && i > 0 {
			return list[:i:i]
		}
	}
	return list
}

// Append writes entries, which must continue the log or replace its end from
// the first of them on. They are durable after Sync. After a Full error the
// log is unchanged.
func (s *Store) Append(entries []Entry) error {
	if err := s.Err(); err != nil {
		return err
	}
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	if first <= s.base || first > s.LastIndex()+1 {
		return eris.Errorf("entry %d does not continue the log %d to %d", first, s.FirstIndex(), s.LastIndex())
	}
	s.buf = s.buf[:0]
	for _, e := range entries {
		s.buf = appendRecord(s.buf, record{typ: typeEntry, Entry: e, synced: s.syncedFor()})
	}
	if err := s.write(s.buf); err != nil {
		return err
	}
	// The replaced end may be in use by a packet, so it is not overwritten.
	keep := s.entries[: first-s.base-1 : first-s.base-1]
	if first == s.LastIndex()+1 {
		keep = s.entries
	}
	s.entries = append(keep, entries...)
	s.raise(entries[len(entries)-1].Index)
	return nil
}

// syncedFor returns the durable length that the next record declares.
func (s *Store) syncedFor() int64 {
	if s.size >= SegmentBytes {
		return 0 // it will be the first of a new segment
	}
	return s.synced
}

func (s *Store) raise(index uint64) {
	last := &s.segments[len(s.segments)-1]
	last.max = max(last.max, index)
}

// write adds records to the last segment, or to a new one if that is full.
// After a partial write, which may hold complete records, all of it is cut
// again, durably: a refused entry must not return after a restart.
func (s *Store) write(buf []byte) error {
	if s.size >= SegmentBytes {
		if err := s.roll(); err != nil {
			return err
		}
	}
	if _, err := s.file.WriteAt(buf, s.size); err != nil {
		e := s.file.Truncate(s.size)
		if e == nil {
			e = s.file.Sync()
		}
		if e != nil {
			return s.fail(e)
		}
		s.synced = s.size
		return &DiskFull{Cause: err}
	}
	s.size += int64(len(buf))
	return nil
}

// Sync makes all appended entries durable.
func (s *Store) Sync() error {
	if err := s.Err(); err != nil {
		return err
	}
	if s.synced == s.size {
		return nil
	}
	if err := s.file.Sync(); err != nil {
		return s.fail(err)
	}
	s.synced = s.size
	return nil
}
