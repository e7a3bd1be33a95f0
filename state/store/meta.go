package store

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
)

// HardState is the durable state of elections.
type HardState struct {
	Term uint64 `json:"term"`
	// Vote is the member that received the vote in Term; empty if none did.
	Vote string `json:"vote,omitempty"`
	// ClusterID is the identity of the cluster; empty on a blank disk.
	ClusterID string `json:"cluster,omitempty"`
}

type identity struct {
	Member string `json:"member"`
	// Disk is generated for a blank folder. It distinguishes a replaced disk
	// from the one whose votes and log entries were counted.
	Disk string `json:"disk"`
}

const (
	metaName     = "meta"
	identityName = "identity"
	tempSuffix   = ".tmp"
)

// writeFile replaces a file atomically and durably.
func (s *Store) writeFile(name string, parts ...[]byte) error {
	temp := name + tempSuffix
	f, err := s.dir.Open(temp, true)
	if err != nil {
		return &DiskFull{Cause: err}
	}
	err = f.Truncate(0)
	var off int64
	for _, p := range parts {
		if err == nil {
			_, err = f.WriteAt(p, off)
			off += int64(len(p))
		}
	}
	if err != nil {
		_ = f.Close()
		// Frees the space of the partly written file; a leftover is
		// overwritten next time.
		_ = s.dir.Remove(temp)
		return &DiskFull{Cause: err}
	}
	return s.commitFile(f, temp, name)
}

// commitFile makes a written temporary file durable under its final name.
func (s *Store) commitFile(f File, temp, name string) error {
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return s.markFailed(err)
	}
	if err := f.Close(); err != nil {
		return s.markFailed(err)
	}
	if err := s.dir.Rename(temp, name); err != nil {
		return &DiskFull{Cause: err}
	}
	if err := s.dir.Sync(); err != nil {
		return s.markFailed(err)
	}
	return nil
}

func (s *Store) writeJSON(name string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	sum := crc32.Checksum(text, castagnoli)
	return s.writeFile(name, fmt.Appendf(nil, "%08x %s\n", sum, text))
}

// readJSON reads a file written by writeJSON. It returns false if there is
// none.
func (s *Store) readJSON(name string, v any) (bool, error) {
	data, err := s.readFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	sum, text, _ := bytes.Cut(bytes.TrimSuffix(data, []byte("\n")), []byte(" "))
	if string(sum) != fmt.Sprintf("%08x", crc32.Checksum(text, castagnoli)) {
		return false, &Damaged{File: name, Detail: "checksum does not match"}
	}
	if err := json.Unmarshal(text, v); err != nil {
		return false, &Damaged{File: name, Detail: err.Error()}
	}
	return true, nil
}

func (s *Store) readFile(name string) ([]byte, error) {
	f, err := s.dir.Open(name, false)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	data := make([]byte, size)
	if n, err := f.ReadAt(data, 0); err != nil && (err != io.EOF || n < len(data)) {
		return nil, err
	}
	return data, nil
}

// HardState returns the durable state of elections.
func (s *Store) HardState() HardState { return s.hardState }

// SaveHardState makes m durable before it returns.
func (s *Store) SaveHardState(m HardState) error {
	if err := s.Err(); err != nil {
		return err
	}
	if err := s.writeJSON(metaName, m); err != nil {
		return err
	}
	s.hardState = m
	return nil
}

// MemberName returns the member name in the identity file.
func (s *Store) MemberName() string { return s.identity.Member }

// DiskID returns the identity of this disk, which was generated when the
// folder was blank.
func (s *Store) DiskID() string { return s.identity.Disk }

// recoverIdentity reads the identity, or generates one for a blank folder. The
// identity file is written last, so a folder without one was never used by a
// member.
func (s *Store) recoverIdentity(name string) error {
	known, err := s.readJSON(identityName, &s.identity)
	if err != nil {
		return err
	}
	if known {
		if s.identity.Member != name {
			return &WrongMember{Owner: s.identity.Member, Name: name}
		}
		ok, err := s.readJSON(metaName, &s.hardState)
		if err == nil && !ok {
			err = &Damaged{File: metaName, Detail: "missing"}
		}
		return err
	}
	names, err := s.dir.List()
	if err != nil {
		return err
	}
	for _, n := range names {
		_, log := segmentNumber(n)
		_, _, snap := parseSnapName(n)
		if snap || log && s.fileSize(n) > 0 {
			return &Damaged{File: identityName, Detail: "missing beside a log or snapshot"}
		}
	}
	s.hardState = HardState{}
	if err := s.writeJSON(metaName, s.hardState); err != nil {
		return err
	}
	if err := s.createSegment(1); err != nil {
		return err
	}
	s.identity = identity{Member: name, Disk: rand.Text()}
	return s.writeJSON(identityName, s.identity)
}

func (s *Store) fileSize(name string) int64 {
	f, err := s.dir.Open(name, false)
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	size, _ := f.Size()
	return size
}

// MemberName returns the name of the member that a data folder belongs to, or
// an empty name if the folder is blank.
func MemberName(dir Folder) (string, error) {
	s := &Store{dir: dir}
	_, err := s.readJSON(identityName, &s.identity)
	return s.identity.Member, err
}
