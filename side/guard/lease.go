package guard

import (
	"context"
	"sync"
	"time"
)

// remembered bounds the renewals of one gate that wait for a grant. A grant
// for an older one has run out: 64 renewals take 32 s, a grant lasts under 1 s.
const remembered = 64

// Sublease is the sub-lease of one gate. It is counted from the time at which
// the renewal was sent, so that neither a slow gate nor a process that was
// suspended can stretch it.
type Sublease struct {
	got   *Notifier // posted when time was granted; may be nil
	mu    sync.Mutex
	seq   uint64
	last  uint64 // highest renewal that was answered
	sent  map[uint64]time.Time
	until time.Time
}

// RecordRenewal notes a renewal before it is sent and returns its number.
func (l *Sublease) RecordRenewal(now time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sent == nil {
		l.sent = map[uint64]time.Time{}
	}
	l.seq++
	l.sent[l.seq] = now
	delete(l.sent, l.seq-remembered)
	return l.seq
}

// ApplyGrant applies a grant: ttl from the sending of the renewal seq. A ttl of
// 0 takes the lease back. Grants that arrive out of order change nothing.
func (l *Sublease) ApplyGrant(seq uint64, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent, ok := l.sent[seq]
	if !ok || seq <= l.last {
		return
	}
	l.last = seq
	for old := range l.sent {
		if old <= seq {
			delete(l.sent, old)
		}
	}
	l.until = sent.Add(ttl)
	if ttl <= 0 {
		l.until = time.Time{}
	} else if l.got != nil {
		l.got.Notify()
	}
}

// Valid tells whether the lease holds at a time.
func (l *Sublease) Valid(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.until)
}

// Subleases are the sub-leases of all gates. One valid lease is enough to work.
type Subleases struct {
	mu  sync.Mutex
	all map[*Sublease]bool // true once its session has ended

	got    Notifier // a grant has come
	wanted Notifier // somebody waits for one
}

// RenewalRequested returns a channel that is closed when a grant is waited for, whatever
// gate it comes from.
func (l *Subleases) RenewalRequested() <-chan struct{} { return l.wanted.Changed() }

// await waits until a lease holds, for a time at most: a link without work
// renews more rarely than its lease lasts.
func (l *Subleases) await(ctx context.Context, limit time.Duration) {
	var timeout <-chan time.Time
	for {
		got := l.got.Changed()
		if l.Valid(time.Now()) {
			return
		}
		if timeout == nil {
			timeout = time.After(limit)
		}
		select {
		case <-got:
		case <-timeout:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Add adds the lease of a new session.
func (l *Subleases) Add() *Sublease {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.all == nil {
		l.all = map[*Sublease]bool{}
	}
	lease := &Sublease{got: &l.got}
	l.all[lease] = false
	return lease
}

// EndSession tells that the session of a lease has ended. The lease stays valid
// until it runs out, as the lease of the gate does.
func (l *Subleases) EndSession(lease *Sublease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all[lease] = true
}

// Valid tells whether any lease holds at a time.
func (l *Subleases) Valid(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	valid := false
	for lease, ended := range l.all {
		if lease.Valid(now) {
			valid = true
		} else if ended {
			delete(l.all, lease)
		}
	}
	return valid
}
