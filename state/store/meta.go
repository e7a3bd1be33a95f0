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
	// Vote is the member that got the vote in Term; empty if none did.
	Vote string `json:"vote,omitempty"`
	// ClusterID is the identity of the cluster; empty on a blank disk.
	ClusterID string `json:"cluster,omitempty"`
}

type identity struct {
	Member string `json:"member"`
	// Disk is drawn when the folder is blank, so that a replaced disk is
	// told apart from the one whose votes and log entries were counted.
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
	return s.finish(f, temp, name)
}

// finish makes a written temporary file durable under its final name.
func (s *Store) finish(f File, temp, name string) error {
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return s.fail(err)
	}
	if err := f.Close(); err != nil {
		return s.fail(err)
	}
	if err := s.dir.Rename(temp, name); err != nil {
		return &DiskFull{Cause: err}
	}
	if err := s.dir.Sync(); err != nil {
		return s.fail(err)
	}
	return nil
}

func (s *Store) writeValue(name string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	sum := crc32.Checksum(text, castagnoli)
	return s.writeFile(name, fmt.Appendf(nil, "%08x %s\n", sum, text))
}

// readValue reads a file of writeValue; it returns false if there is none.
func (s *Store) readValue(name string, v any) (bool, error) {
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
func (s *Store) HardState() HardState { return s.meta }

// SaveHardState makes m durable before it returns.
func (s *Store) SaveHardState(m HardState) error {
	if err := s.Err(); err != nil {
		return err
	}
	if err := s.writeValue(metaName, m); err != nil {
		return err
	}
	s.meta = m
	return nil
}

// MemberName returns the member name in the identity file.
func (s *Store) MemberName() string { return s.id.Member }

// DiskID returns the identity of this disk, drawn when the folder was blank.
func (s *Store) DiskID() string { return s.id.Disk }

// identify reads the identity, or draws one for a blank folder. The identity
// file is written last, so a folder without one never took part in anything.
func (s *Store) identify(name string) error {
	known, err := s.readValue(identityName, &s.id)
	if err != nil {
		return err
	}
	if known {
		if s.id.Member != name {
			return &WrongMember{Owner: s.id.Member, Name: name}
		}
		ok, err := s.readValue(metaName, &s.meta)
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
		if snap || log && s.sizeOf(n) > 0 {
			return &Damaged{File: identityName, Detail: "missing beside a log or snapshot"}
		}
	}
	s.meta = HardState{}
	if err := s.writeValue(metaName, s.meta); err != nil {
		return err
	}
	if err := s.create(1); err != nil {
		return err
	}
	s.id = identity{Member: name, Disk: rand.Text()}
	return s.writeValue(identityName, s.id)
}

func (s *Store) sizeOf(name string) int64 {
	f, err := s.dir.Open(name, false)
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	size, _ := f.Size()
	return size
}

// MemberName returns the name of the member that a data folder belongs to, or an
// empty name if the folder is blank.
func MemberName(dir Folder) (string, error) {
	s := &Store{dir: dir}
	_, err := s.readValue(identityName, &s.id)
	return s.id.Member, err
}
