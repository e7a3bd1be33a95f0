package raft

import "fmt"

// NotLeader is returned by a call that only the leader can serve. The call had
// no effect.
type NotLeader struct {
	// Leader is the known leader; its Name is empty when there is none.
	Leader Member
}

// Error implements error.
func (e NotLeader) Error() string {
	if e.Leader.Name == "" {
		return "this member is not the leader and knows none; retry after an election timeout"
	}
	return fmt.Sprintf("this member is not the leader; retry at %s (%s)", e.Leader.Name, e.Leader.Addr)
}

// OutcomeUnknown reports that the outcome of a command is unknown: leadership
// was lost, the context ended or the node stopped before the commit was known.
type OutcomeUnknown struct {
	// Cause is the error of the context, if that ended the wait.
	Cause error
}

// Error implements error.
func (e OutcomeUnknown) Error() string {
	const text = "the outcome is unknown, the command may yet be applied; ask the leader for the state before repeating it"
	if e.Cause != nil {
		return text + ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e OutcomeUnknown) Unwrap() error { return e.Cause }

// DiskFull is returned for a command that was not accepted because the disk of
// this member, or the disks of a majority, are full.
type DiskFull struct {
	// Member is the member whose disk is full; it is empty if the disks of a
	// majority are.
	Member string
}

// Error implements error.
func (e DiskFull) Error() string {
	if e.Member == "" {
		return "the disks of a majority are full; the command was not accepted; free space on them"
	}
	return fmt.Sprintf("the disk of %s is full; the command was not accepted; free space on it", e.Member)
}

// Stopped is returned by a call to a node that is not running. The call had no
// effect.
type Stopped struct{}

// Error implements error.
func (Stopped) Error() string { return "this member has stopped; retry at another member" }

// Refused reports why a membership change or a leadership transfer was not
// started, or a command not proposed.
type Refused struct{ Reason string }

// Error implements error.
func (e Refused) Error() string { return e.Reason }
