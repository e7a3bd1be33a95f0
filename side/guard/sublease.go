package guard

import (
	"context"
	"sync"
	"time"
)

// maxPendingRenewals limits the renewals of one gate that wait for a grant. A
// grant for an older one has expired: 64 renewals take 32 s, a grant lasts less
// than 1 s.
const maxPendingRenewals = 64

// Sublease is the sublease granted by one gate. It lasts from the time at which
// the renewal was sent, so that neither a slow gate nor a suspended process can
// extend it.
type Sublease struct {
	grantNotifier *Notifier // notified when a grant extends the sublease; may be nil
	mu            sync.Mutex
	lastSeq       uint64
	lastAnswered  uint64 // highest sequence number of a renewal that was answered
	sentAt        map[uint64]time.Time
	expires       time.Time
}

// RecordRenewal records a renewal that is about to be sent and returns its
// sequence number.
func (l *Sublease) RecordRenewal(now time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sentAt == nil {
		l.sentAt = map[uint64]time.Time{}
	}
	l.lastSeq++
	l.sentAt[l.lastSeq] = now
	delete(l.sentAt, l.lastSeq-maxPendingRenewals)
	return l.lastSeq
}

// ApplyGrant makes the sublease valid until ttl after the renewal seq was sent.
// A ttl of 0 revokes it. Grants that arrive out of order have no effect.
func (l *Sublease) ApplyGrant(seq uint64, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent, ok := l.sentAt[seq]
	if !ok || seq <= l.lastAnswered {
		return
	}
	l.lastAnswered = seq
	for old := range l.sentAt {
		if old <= seq {
			delete(l.sentAt, old)
		}
	}
	l.expires = sent.Add(ttl)
	if ttl <= 0 {
		l.expires = time.Time{}
	} else if l.grantNotifier != nil {
		l.grantNotifier.Notify()
	}
}

// Valid reports whether the sublease is valid at the time now.
func (l *Sublease) Valid(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.expires)
}

// Subleases are the subleases granted by all gates. One that is valid is enough
// to run work.
type Subleases struct {
	mu    sync.Mutex
	ended map[*Sublease]bool // value: whether the session has ended

	grantNotifier   Notifier // notified when a grant extends a sublease
	renewalNotifier Notifier // notified when a grant is needed
}

// RenewalRequested returns a channel that is closed when a grant is needed,
// from whichever gate.
func (l *Subleases) RenewalRequested() <-chan struct{} { return l.renewalNotifier.Changed() }

// waitUntilValid waits until a sublease is valid, at most for limit. Without
// the wait, work on an idle link would be refused: such a link renews less
// often than its sublease lasts.
func (l *Subleases) waitUntilValid(ctx context.Context, limit time.Duration) {
	var timeout <-chan time.Time
	for {
		granted := l.grantNotifier.Changed()
		if l.Valid(time.Now()) {
			return
		}
		if timeout == nil {
			timeout = time.After(limit)
		}
		select {
		case <-granted:
		case <-timeout:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Add adds and returns a sublease for a new session.
func (l *Subleases) Add() *Sublease {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended == nil {
		l.ended = map[*Sublease]bool{}
	}
	lease := &Sublease{grantNotifier: &l.grantNotifier}
	l.ended[lease] = false
	return lease
}

// EndSession records that the session of a sublease has ended. The sublease
// stays valid until it expires, as the lease of the gate does.
func (l *Subleases) EndSession(lease *Sublease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended[lease] = true
}

// Valid reports whether any sublease is valid at the time now.
func (l *Subleases) Valid(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	valid := false
	for lease, isEnded := range l.ended {
		if lease.Valid(now) {
			valid = true
		} else if isEnded {
			delete(l.ended, lease)
		}
	}
	return valid
}
