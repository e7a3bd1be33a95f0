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
	mu     sync.Mutex
	view   *conf.View
	notice Notifier
}

// NewConfigStore starts at revision 0.
func NewConfigStore() *ConfigStore { return &ConfigStore{view: conf.EmptyView()} }

// View returns the newest configuration.
func (v *ConfigStore) View() *conf.View {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.view
}

// Changed returns a channel that is closed by the next change of the view.
func (v *ConfigStore) Changed() <-chan struct{} { return v.notice.Changed() }

// Apply brings the view forward. It never goes back: a delta to a revision
// that is in force already is ignored. An error means that a full delta is
// needed, because some changes are missing.
func (v *ConfigStore) Apply(d *wire.Delta) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if d == nil || ident.Revision(d.GetRevision()) <= v.view.Revision {
		return nil
	}
	if from := ident.Revision(d.GetFrom()); !d.GetFull() && from < v.view.Revision {
		// Another gate was faster. The entries carry the values of the last
		// revision, so they apply to any state between the two.
		d = proto.CloneOf(d)
		d.From = uint64(v.view.Revision)
	}
	next, err := v.view.Apply(d)
	if err != nil {
		return err
	}
	v.view = next
	v.notice.Notify()
	return nil
}

// WaitForRevision waits until the view has reached a revision, for a time at most, and
// returns the view that it then has.
func (v *ConfigStore) WaitForRevision(ctx context.Context, r ident.Revision, limit time.Duration) *conf.View {
	var timeout <-chan time.Time
	for {
		changed := v.notice.Changed()
		view := v.View()
		if view.Revision >= r {
			return view
		}
		if timeout == nil {
			timeout = time.After(limit)
		}
		select {
		case <-changed:
		case <-timeout:
			return v.View()
		case <-ctx.Done():
			return v.View()
		}
	}
}
