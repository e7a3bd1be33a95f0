package store

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
)

const segmentSuffix = ".log"

func segmentName(number uint64) string { return fmt.Sprintf("%016x%s", number, segmentSuffix) }

func segmentNumber(name string) (uint64, bool) {
	if !strings.HasSuffix(name, segmentSuffix) {
		return 0, false
	}
	var number uint64
	n, err := fmt.Sscanf(name, "%016x", &number)
	return number, err == nil && n == 1 && name == segmentName(number)
}

// createSegment makes an empty segment durable and opens it for writing.
func (s *Store) createSegment(number uint64) error {
	f, err := s.dir.Open(segmentName(number), true)
	if err != nil {
		return &DiskFull{Cause: err}
	}
	if err := s.dir.Sync(); err != nil {
		_ = f.Close()
		return s.markFailed(err)
	}
	if s.file != nil {
		_ = s.file.Close()
	}
	s.file, s.size, s.synced = f, 0, 0
	s.segments = append(s.segments, segment{number: number})
	return nil
}

// startSegment starts a new segment. All bytes of the previous one are durable
// then, so an invalid record there is never a torn tail.
func (s *Store) startSegment() error {
	if err := s.Sync(); err != nil {
		return err
	}
	return s.createSegment(s.segments[len(s.segments)-1].number + 1)
}

// dropSegments removes the oldest segments that hold only entries up to
// baseIndex.
func (s *Store) dropSegments() error {
	for len(s.segments) > 1 && s.segments[0].maxIndex <= s.baseIndex {
		if err := s.dir.Remove(segmentName(s.segments[0].number)); err != nil {
			return err
		}
		s.segments = s.segments[1:]
	}
	return nil
}

// resetLog empties the log, so that it continues after the snapshot in use.
func (s *Store) resetLog() error {
	if err := s.startSegment(); err != nil {
		return err
	}
	reset := record{typ: typeReset, Entry: Entry{Index: s.snapIndex, Term: s.snapTerm}}
	if err := s.writeRecords(appendRecord(nil, reset)); err != nil {
		return err
	}
	if err := s.Sync(); err != nil {
		return err
	}
	s.baseIndex, s.baseTerm, s.entries = s.snapIndex, s.snapTerm, nil
	for i := range s.segments {
		s.segments[i].maxIndex = 0
	}
	return s.dropSegments()
}

// recoverSnapshot verifies the newest snapshot and removes older ones and the
// temporary files of interrupted writes.
func (s *Store) recoverSnapshot() error {
	names, err := s.dir.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			if err := s.dir.Remove(name); err != nil {
				return err
			}
		}
		if index, term, ok := parseSnapName(name); ok && index > s.snapIndex {
			s.snapIndex, s.snapTerm = index, term
		}
	}
	if s.snapIndex == 0 {
		return nil
	}
	name := snapName(s.snapIndex, s.snapTerm)
	if _, err := s.loadSnapshot(name); err != nil {
		return err
	}
	s.snapSize = s.fileSize(name)
	return s.dropSnapshots()
}

func (s *Store) recoverLog() error {
	names, err := s.dir.List()
	if err != nil {
		return err
	}
	s.segments = nil
	for _, name := range names {
		if number, ok := segmentNumber(name); ok {
			s.segments = append(s.segments, segment{number: number})
		}
	}
	if len(s.segments) == 0 {
		return &Damaged{File: segmentName(1), Detail: "no segment of the log exists"}
	}
	slices.SortFunc(s.segments, func(a, b segment) int { return int(a.number) - int(b.number) })
	r := replay{s: s}
	for i := range s.segments {
		if i > 0 && s.segments[i].number != s.segments[i-1].number+1 {
			return &Damaged{File: segmentName(s.segments[i-1].number + 1), Detail: "missing"}
		}
		if err := r.replaySegment(i); err != nil {
			return err
		}
	}
	return s.joinSnapshot(&r)
}

// replay rebuilds the log from the records of all segments.
type replay struct {
	s *Store
	// baseKnown is false until the first record determines where the log
	// begins.
	baseKnown bool
	sawReset  bool // the log began with a reset, so baseTerm is known
}

func (r *replay) replaySegment(i int) error {
	name := segmentName(r.s.segments[i].number)
	buf, err := r.s.readFile(name)
	if err != nil {
		return err
	}
	last := i == len(r.s.segments)-1
	off := 0
	for off < len(buf) {
		rec, ok := parseRecord(buf[off:])
		if !ok {
			if !last || isAcknowledged(buf, off) {
				return &Damaged{File: name, Detail: fmt.Sprintf("acknowledged record at byte %d is not valid", off)}
			}
			break
		}
		if err := r.addRecord(rec, &r.s.segments[i]); err != nil {
			return &Damaged{File: name, Detail: fmt.Sprintf("byte %d: %v", off, err)}
		}
		off += rec.size
	}
	if !last {
		return nil
	}
	return r.s.reopenSegment(name, int64(off), int64(len(buf)))
}

// reopenSegment opens the last segment for writing and truncates its torn
// tail.
func (s *Store) reopenSegment(name string, valid, size int64) error {
	f, err := s.dir.Open(name, false)
	if err != nil {
		return err
	}
	if s.file != nil {
		_ = s.file.Close()
	}
	s.file = f
	if valid < size {
		if err := f.Truncate(valid); err != nil {
			return err
		}
	}
	// Valid records that were never synced become part of the log, so they
	// must be durable.
	if err := f.Sync(); err != nil {
		return s.markFailed(err)
	}
	s.size, s.synced = valid, valid
	return nil
}

func (r *replay) addRecord(rec record, seg *segment) error {
	s := r.s
	switch rec.typ {
	case typeReset:
		s.baseIndex, s.baseTerm, s.entries = rec.Index, rec.Term, nil
		r.baseKnown, r.sawReset = true, true
	case typeEntry:
		// A later record may replace entries that precede the first remaining
		// one, if those were dropped with an earlier segment.
		if !r.baseKnown || !r.sawReset && rec.Index > 0 && rec.Index <= s.baseIndex {
			r.baseKnown = true
			s.baseIndex, s.entries = rec.Index-1, nil
		}
		if rec.Index <= s.baseIndex || rec.Index > s.LastIndex()+1 {
			return fmt.Errorf("entry %d does not continue the log %d to %d", rec.Index, s.FirstIndex(), s.LastIndex())
		}
		rec.Data = bytes.Clone(rec.Data)
		s.entries = append(s.entries[:rec.Index-s.baseIndex-1], rec.Entry)
		seg.maxIndex = max(seg.maxIndex, rec.Index)
	}
	return nil
}

// joinSnapshot reconciles the replayed log with the snapshot.
func (s *Store) joinSnapshot(r *replay) error {
	if s.baseIndex > s.snapIndex {
		return &Damaged{File: segmentName(s.segments[0].number), Detail: fmt.Sprintf("the log begins after entry %d and no snapshot reaches it", s.baseIndex)}
	}
	if s.snapIndex == 0 {
		return nil
	}
	if s.baseIndex < s.snapIndex && !r.sawReset && len(s.entries) > 0 {
		// The term of the entry before the first is not recorded, so the
		// first one becomes the base.
		s.dropEntries(s.baseIndex + 1)
	}
	if s.baseIndex == s.snapIndex && !r.sawReset {
		// The log was compacted at its own snapshot, whose term is known.
		s.baseTerm = s.snapTerm
	}
	term, ok := s.Term(s.snapIndex)
	if ok && term == s.snapTerm {
		return nil
	}
	// A received snapshot was durable, but the reset of the log was not.
	return s.resetLog()
}

// IsBlank reports whether the store never held an entry or a snapshot.
func (s *Store) IsBlank() bool { return s.LastIndex() == 0 && s.snapIndex == 0 }
