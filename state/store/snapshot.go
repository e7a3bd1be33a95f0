package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"strings"
)

// Snapshot is the state after the entry at Index.
type Snapshot struct {
	Index, Term uint64
	// Roster is the membership at Index, encoded by the caller.
	Roster []byte
	Data   []byte
}

// A snapshot file is magic, index, term, length of the roster (8 bytes each,
// little endian), roster, data, CRC32C of all before (4 bytes).
const (
	snapMagic       = 0x50414e5345444c43
	snapHeaderBytes = 32
	snapSuffix      = ".snap"
	incomingName    = "incoming" + tempSuffix
)

func snapName(index, term uint64) string {
	return fmt.Sprintf("%016x-%016x%s", index, term, snapSuffix)
}

func parseSnapName(name string) (index, term uint64, ok bool) {
	if !strings.HasSuffix(name, snapSuffix) {
		return 0, 0, false
	}
	n, err := fmt.Sscanf(name, "%016x-%016x", &index, &term)
	return index, term, err == nil && n == 2 && name == snapName(index, term)
}

// WriteSnapshot makes a snapshot file durable. It may run concurrently with
// all other calls. Compact then makes the snapshot the one in use.
func (s *Store) WriteSnapshot(snap Snapshot) error {
	if err := s.Err(); err != nil {
		return err
	}
	le := binary.LittleEndian
	head := le.AppendUint64(nil, snapMagic)
	head = le.AppendUint64(head, snap.Index)
	head = le.AppendUint64(head, snap.Term)
	head = le.AppendUint64(head, uint64(len(snap.Roster)))
	head = append(head, snap.Roster...)
	sum := crc32.Update(crc32.Checksum(head, castagnoli), castagnoli, snap.Data)
	return s.writeFile(snapName(snap.Index, snap.Term), head, snap.Data, le.AppendUint32(nil, sum))
}

// LastSnapshot returns the index and term of the snapshot in use, zero if
// there is none, and the size of its file in bytes.
func (s *Store) LastSnapshot() (index, term uint64, size int64) {
	return s.snapIndex, s.snapTerm, s.snapSize
}

// ReadSnapshot returns the snapshot in use, or false if there is none.
func (s *Store) ReadSnapshot() (Snapshot, bool, error) {
	if s.snapIndex == 0 {
		return Snapshot{}, false, nil
	}
	snap, err := s.loadSnapshot(snapName(s.snapIndex, s.snapTerm))
	return snap, err == nil, err
}

func (s *Store) loadSnapshot(name string) (Snapshot, error) {
	data, err := s.readFile(name)
	if err != nil {
		return Snapshot{}, err
	}
	le := binary.LittleEndian
	body := len(data) - 4
	if body < snapHeaderBytes || le.Uint64(data) != snapMagic || crc32.Checksum(data[:body], castagnoli) != le.Uint32(data[body:]) {
		return Snapshot{}, &Damaged{File: name, Detail: "checksum does not match"}
	}
	n := le.Uint64(data[24:])
	if n > uint64(body-snapHeaderBytes) {
		return Snapshot{}, &Damaged{File: name, Detail: "length does not match"}
	}
	end := snapHeaderBytes + int(n)
	return Snapshot{Index: le.Uint64(data[8:]), Term: le.Uint64(data[16:]), Roster: data[snapHeaderBytes:end], Data: data[end:body]}, nil
}

// OpenSnapshot opens the file of the snapshot in use, to send it in chunks.
// The file stays readable after a later snapshot replaces it.
func (s *Store) OpenSnapshot() (f File, index, term uint64, size int64, err error) {
	if s.snapIndex == 0 {
		return nil, 0, 0, 0, fs.ErrNotExist
	}
	f, err = s.dir.Open(snapName(s.snapIndex, s.snapTerm), false)
	return f, s.snapIndex, s.snapTerm, s.snapSize, err
}

// Compact makes a snapshot that WriteSnapshot wrote the one in use, removes
// older ones, and drops the log before its index but for the last retain entries
// with at most retainBytes bytes together.
func (s *Store) Compact(index, term uint64, retain uint64, retainBytes int) error {
	if index <= s.snapIndex {
		// A snapshot received meanwhile is newer.
		return s.dropSnapshots()
	}
	s.snapIndex, s.snapTerm = index, term
	s.snapSize = s.fileSize(snapName(index, term))
	if to := s.retainedAfter(index, retain, retainBytes); to > s.baseIndex {
		s.dropEntries(to)
	}
	if err := s.dropSnapshots(); err != nil {
		return err
	}
	return s.dropSegments()
}

// retainedAfter returns the index after which entries up to index stay in the log.
func (s *Store) retainedAfter(index, retain uint64, retainBytes int) uint64 {
	to := index
	for to > s.baseIndex && index-to < retain {
		retainBytes -= len(s.entries[to-s.baseIndex-1].Data)
		if retainBytes < 0 {
			break
		}
		to--
	}
	return to
}

// dropEntries removes the entries up to and including index to from memory.
func (s *Store) dropEntries(to uint64) {
	i := to - s.baseIndex
	s.baseTerm = s.entries[i-1].Term
	s.entries = append([]Entry(nil), s.entries[i:]...)
	s.baseIndex = to
}

func (s *Store) dropSnapshots() error {
	names, err := s.dir.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if index, _, ok := parseSnapName(name); ok && index < s.snapIndex {
			if err := s.dir.Remove(name); err != nil {
				return err
			}
		}
	}
	return nil
}

// IncomingSnapshot is a snapshot file that is received in chunks.
type IncomingSnapshot struct {
	s           *Store
	f           File
	Index, Term uint64
	// NextOffset is the offset of the next chunk and Size the size of the
	// whole file, in bytes.
	NextOffset, Size int64
}

// ReceiveSnapshot starts to receive a snapshot file. A previous unfinished one
// is discarded.
func (s *Store) ReceiveSnapshot(index, term uint64, size int64) (*IncomingSnapshot, error) {
	f, err := s.dir.Open(incomingName, true)
	if err != nil {
		return nil, &DiskFull{Cause: err}
	}
	if err := f.Truncate(0); err != nil {
		_ = f.Close()
		return nil, &DiskFull{Cause: err}
	}
	return &IncomingSnapshot{s: s, f: f, Index: index, Term: term, Size: size}, nil
}

// Write adds the next chunk. After an error, the file is discarded.
func (in *IncomingSnapshot) Write(chunk []byte) error {
	if _, err := in.f.WriteAt(chunk, in.NextOffset); err != nil {
		in.Discard()
		return &DiskFull{Cause: err}
	}
	in.NextOffset += int64(len(chunk))
	return nil
}

// Discard closes and removes the file.
func (in *IncomingSnapshot) Discard() {
	_ = in.f.Close()
	_ = in.s.dir.Remove(incomingName)
}

// Install verifies the complete file, makes it the snapshot in use and
// returns its content. The log is kept if it contains the snapshot's last
// entry and emptied otherwise.
func (in *IncomingSnapshot) Install() (Snapshot, error) {
	s := in.s
	snap, err := s.loadSnapshot(incomingName)
	if err == nil && (snap.Index != in.Index || snap.Term != in.Term || snap.Index <= s.snapIndex) {
		err = errors.New("the received snapshot is not the announced one")
	}
	if err != nil {
		in.Discard()
		return Snapshot{}, err
	}
	if err := s.commitFile(in.f, incomingName, snapName(snap.Index, snap.Term)); err != nil {
		return Snapshot{}, err
	}
	s.snapIndex, s.snapTerm, s.snapSize = snap.Index, snap.Term, in.Size
	if t, ok := s.Term(snap.Index); !ok || t != snap.Term {
		if err := s.resetLog(); err != nil {
			// Only recovery after a restart can reconcile the new snapshot
			// with the old log.
			return Snapshot{}, s.markFailed(err)
		}
	}
	return snap, s.dropSnapshots()
}
