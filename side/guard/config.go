package guard

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// ConfigStore holds the newest configuration that any gate has sent.
type ConfigStore struct {
	mu       sync.Mutex
	view     *conf.View
	notifier Notifier
}

// NewConfigStore returns a store with the empty configuration at revision 0.
func NewConfigStore() *ConfigStore { return &ConfigStore{view: conf.EmptyView()} }

// View returns the newest view.
func (s *ConfigStore) View() *conf.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// Changed returns a channel that is closed by the next change of the view.
func (s *ConfigStore) Changed() <-chan struct{} { return s.notifier.Changed() }

// Apply advances the view to the revision of the delta. It never goes back: a
// delta to a revision that is already in force is ignored. An error means that
// changes are missing and a full delta is needed.
func (s *ConfigStore) Apply(d *wire.Delta) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d == nil || ident.Revision(d.GetRevision()) <= s.view.Revision {
		return nil
	}
	if from := ident.Revision(d.GetFrom()); !d.GetFull() && from < s.view.Revision {
		// A delta of another gate arrived first. The entries carry the values
		// at the delta's last revision, so they apply to any revision between
		// its first and its last one.
		d = proto.CloneOf(d)
		d.From = uint64(s.view.Revision)
	}
	next, err := s.view.Apply(d)
	if err != nil {
		return err
	}
	s.view = next
	s.notifier.Notify()
	return nil
}

// WaitForRevision waits until the view has reached revision r, at most for
// limit, and returns the newest view.
func (s *ConfigStore) WaitForRevision(ctx context.Context, r ident.Revision, limit time.Duration) *conf.View {
	var timeout <-chan time.Time
	for {
		changed := s.notifier.Changed()
		view := s.View()
		if view.Revision >= r {
			return view
		}
		if timeout == nil {
			timeout = time.After(limit)
		}
		select {
		case <-changed:
		case <-timeout:
			return s.View()
		case <-ctx.Done():
			return s.View()
		}
	}
}
