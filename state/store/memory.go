package store

import (
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
)

// MemoryFolder is a Folder in memory with fault injection, for simulations. It
// separates what was written from what was synced, so that Crash loses
// unsynced bytes, creations, renames and removals. It is safe for concurrent
// use.
type MemoryFolder struct {
	mu        sync.Mutex
	names     map[string]*inode
	durable   map[string]*inode // the names that survive a crash
	locked    bool
	freeBytes int // bytes that may still be written; no limit if negative
	syncErr   error
}

type inode struct {
	data        []byte
	syncedBytes int // bytes that survive a crash
}

// NewMemoryFolder returns an empty folder.
func NewMemoryFolder() *MemoryFolder {
	return &MemoryFolder{names: map[string]*inode{}, durable: map[string]*inode{}, freeBytes: -1}
}

// Crash returns the folder as a restarted machine finds it. Of the unsynced
// end of each file, a random part survives. Handles of the old folder have no
// effect on the new one.
func (m *MemoryFolder) Crash(rng *rand.Rand) *MemoryFolder {
	m.mu.Lock()
	defer m.mu.Unlock()
	after := NewMemoryFolder()
	for _, name := range slices.Sorted(maps.Keys(m.durable)) {
		n := m.durable[name]
		keep := n.syncedBytes + rng.IntN(len(n.data)-n.syncedBytes+1)
		after.names[name] = &inode{data: slices.Clone(n.data[:keep]), syncedBytes: keep}
	}
	after.durable = maps.Clone(after.names)
	return after
}

// SetFreeSpace limits the bytes that may still be written; a negative number
// is no limit.
func (m *MemoryFolder) SetFreeSpace(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freeBytes = bytes
}

// FailSync makes every later sync fail with err; a nil err ends that.
func (m *MemoryFolder) FailSync(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncErr = err
}

// FlipByte inverts the byte at an offset of a file; a negative offset counts
// from its end.
func (m *MemoryFolder) FlipByte(name string, offset int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data := m.names[name].data
	if offset < 0 {
		offset += len(data)
	}
	data[offset] ^= 0xff
}

// Open implements Folder.
func (m *MemoryFolder) Open(name string, create bool) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, ok := m.names[name]
	if !ok && !create {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	if !ok {
		n = &inode{}
		m.names[name] = n
	}
	return &memoryFile{m: m, n: n}, nil
}

// Rename implements Folder.
func (m *MemoryFolder) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, ok := m.names[from]
	if !ok {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(m.names, from)
	m.names[to] = n
	return nil
}

// Remove implements Folder.
func (m *MemoryFolder) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.names[name]; !ok {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	delete(m.names, name)
	return nil
}

// List implements Folder.
func (m *MemoryFolder) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.names)), nil
}

// Sync implements Folder.
func (m *MemoryFolder) Sync() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.syncErr != nil {
		return m.syncErr
	}
	m.durable = maps.Clone(m.names)
	return nil
}

// Lock implements Folder.
func (m *MemoryFolder) Lock() (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locked {
		return nil, &Locked{Cause: syscall.EWOULDBLOCK}
	}
	m.locked = true
	return memoryLock{m}, nil
}

type memoryLock struct{ m *MemoryFolder }

func (u memoryLock) Close() error {
	u.m.mu.Lock()
	defer u.m.mu.Unlock()
	u.m.locked = false
	return nil
}

type memoryFile struct {
	m *MemoryFolder
	n *inode
}

func (h *memoryFile) ReadAt(p []byte, off int64) (int, error) {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	if off >= int64(len(h.n.data)) {
		return 0, io.EOF
	}
	c := copy(p, h.n.data[off:])
	if c < len(p) {
		return c, io.EOF
	}
	return c, nil
}

func (h *memoryFile) WriteAt(p []byte, off int64) (int, error) {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	var err error
	if h.m.freeBytes >= 0 {
		if len(p) > h.m.freeBytes {
			p, err = p[:h.m.freeBytes], syscall.ENOSPC
		}
		h.m.freeBytes -= len(p)
	}
	if end := int(off) + len(p); end > len(h.n.data) {
		h.n.data = append(h.n.data, make([]byte, end-len(h.n.data))...)
	}
	return copy(h.n.data[off:], p), err
}

func (h *memoryFile) Close() error { return nil }

func (h *memoryFile) Size() (int64, error) {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	return int64(len(h.n.data)), nil
}

func (h *memoryFile) Truncate(size int64) error {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	h.n.data = h.n.data[:size]
	h.n.syncedBytes = min(h.n.syncedBytes, int(size))
	return nil
}

func (h *memoryFile) Sync() error {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	if h.m.syncErr != nil {
		return h.m.syncErr
	}
	h.n.syncedBytes = len(h.n.data)
	return nil
}
