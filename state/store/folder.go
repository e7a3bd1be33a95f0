package store

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
)

// Folder is the part of a file system that a store needs: one flat folder.
type Folder interface {
	// Open opens a file for reading and writing; create makes it if it does
	// not exist.
	Open(name string, create bool) (File, error)
	// Rename renames the file from to the name to, replacing a file of that
	// name.
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names of all files.
	List() ([]string, error)
	// Sync makes creations, renames and removals durable.
	Sync() error
	// Lock claims the folder for this process until the result is closed.
	Lock() (io.Closer, error)
}

// File is an open file of a Folder.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Size() (int64, error)
	Truncate(size int64) error
	Sync() error
}

const lockName = "lock"

type diskFolder struct{ path string }

// OpenFolder returns the folder at a path and creates it if it does not exist.
func OpenFolder(path string) (Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, eris.Wrap(err, "cannot make the data folder; set a writable path")
	}
	// The directory entry of the folder itself is in its parent.
	if err := (diskFolder{filepath.Dir(path)}).Sync(); err != nil {
		return nil, eris.Wrap(err, "cannot sync the parent of the data folder")
	}
	return diskFolder{path}, nil
}

func (d diskFolder) Open(name string, create bool) (File, error) {
	flag := os.O_RDWR
	if create {
		flag |= os.O_CREATE
	}
	f, err := os.OpenFile(filepath.Join(d.path, name), flag, 0o600)
	if err != nil {
		return nil, err
	}
	return diskFile{f}, nil
}

func (d diskFolder) Rename(from, to string) error {
	return os.Rename(filepath.Join(d.path, from), filepath.Join(d.path, to))
}

func (d diskFolder) Remove(name string) error { return os.Remove(filepath.Join(d.path, name)) }

func (d diskFolder) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

func (d diskFolder) Sync() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	err = f.Sync()
	if e := f.Close(); err == nil {
		err = e
	}
	return err
}

func (d diskFolder) Lock() (io.Closer, error) {
	f, err := os.OpenFile(filepath.Join(d.path, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, &Locked{Cause: err}
	}
	return f, nil
}

type diskFile struct{ *os.File }

func (f diskFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
