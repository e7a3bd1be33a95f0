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

// MemoryFolder is a folder in memory with faults on demand, for simulations. It
// separates what was written from what was synced, so that Crash loses
// unsynced bytes, creations, renames and removals. Safe for concurrent use.
type MemoryFolder struct {
	mu      sync.Mutex
	names   map[string]*inode
	durable map[string]*inode // the names that survive a crash
	locked  bool
	space   int // bytes that may still be written; negative is no limit
	syncErr error
}

type inode struct {
	data   []byte
	synced int // bytes that survive a crash
}

// NewMemoryFolder returns an empty folder.
func NewMemoryFolder() *MemoryFolder {
	return &MemoryFolder{names: map[string]*inode{}, durable: map[string]*inode{}, space: -1}
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
		keep := n.synced + rng.IntN(len(n.data)-n.synced+1)
		after.names[name] = &inode{data: slices.Clone(n.data[:keep]), synced: keep}
	}
	after.durable = maps.Clone(after.names)
	return after
}

// SetFreeSpace limits the bytes that may still be written; negative is no limit.
func (m *MemoryFolder) SetFreeSpace(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.space = bytes
}

// FailSync makes each later sync fail with err; nil ends that.
func (m *MemoryFolder) FailSync(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.syncErr = err
}

// FlipByte inverts the byte at an offset of a file; a negative offset counts from
// its end.
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
	return &handle{m: m, n: n}, nil
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
	return unlock{m}, nil
}

type unlock struct{ m *MemoryFolder }

func (u unlock) Close() error {
	u.m.mu.Lock()
	defer u.m.mu.Unlock()
	u.m.locked = false
	return nil
}

type handle struct {
	m *MemoryFolder
	n *inode
}

func (h *handle) ReadAt(p []byte, off int64) (int, error) {
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

func (h *handle) WriteAt(p []byte, off int64) (int, error) {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	var err error
	if h.m.space >= 0 {
		if len(p) > h.m.space {
			p, err = p[:h.m.space], syscall.ENOSPC
		}
		h.m.space -= len(p)
	}
	if end := int(off) + len(p); end > len(h.n.data) {
		h.n.data = append(h.n.data, make([]byte, end-len(h.n.data))...)
	}
	return copy(h.n.data[off:], p), err
}

func (h *handle) Close() error { return nil }

func (h *handle) Size() (int64, error) {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	return int64(len(h.n.data)), nil
}

func (h *handle) Truncate(size int64) error {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	h.n.data = h.n.data[:size]
	h.n.synced = min(h.n.synced, int(size))
	return nil
}

func (h *handle) Sync() error {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	if h.m.syncErr != nil {
		return h.m.syncErr
	}
	h.n.synced = len(h.n.data)
	return nil
}
