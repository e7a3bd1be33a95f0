package store

import "fmt"

// Damaged is returned for a data folder whose acknowledged content is
// incomplete.
type Damaged struct {
	File   string
	Detail string
}

// Error implements error.
func (e *Damaged) Error() string {
	return fmt.Sprintf("%s is damaged (%s); replace this member: remove it from the cluster, start it on an empty data folder and add it as learner", e.File, e.Detail)
}

// DiskFull is returned for a write that was refused. No part of it was kept,
// and all earlier writes were.
type DiskFull struct{ Cause error }

// Error implements error.
func (e *DiskFull) Error() string {
	return fmt.Sprintf("the data folder refuses writes (%v); free space on its disk", e.Cause)
}

// Unwrap returns the error of the file system.
func (e *DiskFull) Unwrap() error { return e.Cause }

// SyncFailed is returned by all operations after a failed fsync: the kernel
// may have dropped the unsynced pages, so a later fsync that succeeds proves
// nothing.
type SyncFailed struct{ Cause error }

// Error implements error.
func (e *SyncFailed) Error() string {
	return fmt.Sprintf("the disk failed to make writes durable (%v); check the disk, then restart this member", e.Cause)
}

// Unwrap returns the error of the file system.
func (e *SyncFailed) Unwrap() error { return e.Cause }

// Locked is returned for a data folder that another process uses.
type Locked struct{ Cause error }

// Error implements error.
func (e *Locked) Error() string {
	return fmt.Sprintf("the data folder is in use (%v); stop the other process or set another folder", e.Cause)
}

// Unwrap returns the error of the file system.
func (e *Locked) Unwrap() error { return e.Cause }

// WrongMember is returned for a data folder that belongs to another member.
type WrongMember struct{ Owner, Name string }

// Error implements error.
func (e *WrongMember) Error() string {
	return fmt.Sprintf("the data folder belongs to member %s, not %s; set the folder or the name of this member right", e.Owner, e.Name)
}
