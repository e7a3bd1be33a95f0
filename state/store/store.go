// Package store keeps the log, the snapshot and the vote of one member of the
// state cluster in one data folder.
//
// Append writes entries and Sync makes them durable, so that many entries
// share one fsync. Nothing may be acknowledged before Sync, SaveHardState or
// WriteSnapshot has returned nil. Methods must not be called concurrently,
// except where they say otherwise.
package store

import (
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// SegmentBytes is the length at which a new segment is started.
const SegmentBytes = 16 << 20

// Store is an open data folder.
type Store struct {
	dir       Folder
	lock      io.Closer
	identity  identity
	hardState HardState

	// The entries after baseIndex are in memory. baseTerm is the term of the
	// entry at baseIndex.
	baseIndex, baseTerm uint64
	entries             []Entry

	segments []segment // oldest first; records are added to the last one
	file     File      // of the last segment
	size     int64     // of the last segment
	synced   int64     // of the last segment
	writeBuf []byte

	snapIndex, snapTerm uint64
	snapSize            int64

	mu          sync.Mutex // guards syncFailure
	syncFailure error
}

type segment struct {
	number   uint64
	maxIndex uint64 // highest index of its records
}

// Open locks and recovers a data folder. A blank one is initialized for the
// named member, with the identity of a new disk. A torn tail of the log is
// truncated. Open returns Damaged if the folder lacks acknowledged content,
// Locked if another process uses it, and WrongMember if it belongs to another
// member.
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
	if err := s.recoverIdentity(name); err != nil {
		return err
	}
	if err := s.recoverSnapshot(); err != nil {
		return err
	}
	return s.recoverLog()
}

// Close records that all entries are durable and releases the folder.
func (s *Store) Close() error {
	if s.Err() == nil && s.Sync() == nil && s.size > 0 {
		s.writeBuf = appendRecord(s.writeBuf[:0], record{typ: typeSynced, synced: s.synced})
		// The record only improves the detection of damage, so errors are
		// ignored.
		_, _ = s.file.WriteAt(s.writeBuf, s.size)
		_ = s.file.Sync()
	}
	err := s.file.Close()
	if e := s.lock.Close(); err == nil {
		err = e
	}
	return err
}

// Err returns the SyncFailed error after a failed fsync. It is safe for
// concurrent use.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.syncFailure
}

// markFailed makes the store unusable.
func (s *Store) markFailed(cause error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.syncFailure == nil {
		s.syncFailure = &SyncFailed{Cause: cause}
	}
	return s.syncFailure
}

// FirstIndex returns the index of the first entry in memory, which may be one
// more than Last.
func (s *Store) FirstIndex() uint64 { return s.baseIndex + 1 }

// LastIndex returns the index of the last entry.
func (s *Store) LastIndex() uint64 { return s.baseIndex + uint64(len(s.entries)) }

// Term returns the term of an entry, or false if it is not known.
func (s *Store) Term(index uint64) (uint64, bool) {
	switch {
	case index == s.baseIndex:
		return s.baseTerm, true
	case index > s.baseIndex && index <= s.LastIndex():
		return s.entries[index-s.baseIndex-1].Term, true
	}
	return 0, false
}

// Entries returns entries from index up to last, as many as fit into limit
// bytes, but at least one. The result must not be changed.
func (s *Store) Entries(index, last uint64, limit int) []Entry {
	if index <= s.baseIndex || index > last || last > s.LastIndex() {
		return nil
	}
	list := s.entries[index-s.baseIndex-1 : last-s.baseIndex : last-s.baseIndex]
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
// the first of them on. They are durable after Sync. If it returns DiskFull,
// the log is unchanged.
func (s *Store) Append(entries []Entry) error {
	if err := s.Err(); err != nil {
		return err
	}
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	if first <= s.baseIndex || first > s.LastIndex()+1 {
		return eris.Errorf("entry %d does not continue the log %d to %d", first, s.FirstIndex(), s.LastIndex())
	}
	s.writeBuf = s.writeBuf[:0]
	for _, e := range entries {
		s.writeBuf = appendRecord(s.writeBuf, record{typ: typeEntry, Entry: e, synced: s.declaredSynced()})
	}
	if err := s.writeRecords(s.writeBuf); err != nil {
		return err
	}
	// A packet may still refer to the replaced end, so it is not overwritten.
	keep := s.entries[: first-s.baseIndex-1 : first-s.baseIndex-1]
	if first == s.LastIndex()+1 {
		keep = s.entries
	}
	s.entries = append(keep, entries...)
	s.raiseMaxIndex(entries[len(entries)-1].Index)
	return nil
}

// declaredSynced returns the durable length that the next record declares.
func (s *Store) declaredSynced() int64 {
	if s.size >= SegmentBytes {
		return 0 // it will be the first of a new segment
	}
	return s.synced
}

func (s *Store) raiseMaxIndex(index uint64) {
	last := &s.segments[len(s.segments)-1]
	last.maxIndex = max(last.maxIndex, index)
}

// writeRecords adds records to the last segment, or to a new one if that is
// full. A partial write may hold complete records, so all of it is truncated,
// durably: a refused entry must not return after a restart.
func (s *Store) writeRecords(buf []byte) error {
	if s.size >= SegmentBytes {
		if err := s.startSegment(); err != nil {
			return err
		}
	}
	if _, err := s.file.WriteAt(buf, s.size); err != nil {
		e := s.file.Truncate(s.size)
		if e == nil {
			e = s.file.Sync()
		}
		if e != nil {
			return s.markFailed(e)
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
		return s.markFailed(err)
	}
	s.synced = s.size
	return nil
}
