// Package store keeps the log, the snapshot and the vote of one member of the
// state cluster in one data folder.
package store

// Store is an open data folder.
type Store struct{ name, disk string }

// Name returns the member name in the identity file.
func (s *Store) Name() string { return s.name }

// Disk returns the identity of this disk, drawn when the folder was blank.
func (s *Store) Disk() string { return s.disk }
