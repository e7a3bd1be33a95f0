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

// Views holds the newest configuration that any gate has sent.
type Views struct {
	mu     sync.Mutex
	view   *conf.View
	notice Notice
}

// NewViews starts at revision 0.
func NewViews() *Views { return &Views{view: conf.EmptyView()} }

// View returns the newest configuration.
func (v *Views) View() *conf.View {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.view
}

// Changed returns a channel that is closed by the next change of the view.
func (v *Views) Changed() <-chan struct{} { return v.notice.Wait() }

// Apply brings the view forward. It never goes back: a delta to a revision
// that is in force already is ignored. An error means that a full delta is
// needed, because some changes are missing.
func (v *Views) Apply(d *wire.Delta) error {
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
	v.notice.Post()
	return nil
}

// Await waits until the view has reached a revision, for a time at most, and
// returns the view that it then has.
func (v *Views) Await(ctx context.Context, r ident.Revision, limit time.Duration) *conf.View {
	var timeout <-chan time.Time
	for {
		changed := v.notice.Wait()
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
