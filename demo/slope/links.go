package slope

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"citronledge.example/core/conf"
	"citronledge.example/core/group"
	"citronledge.example/core/ident"
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
	"citronledge.example/gate/pool"
)

const (
	settle     = 8 * time.Second // after the links are up; a new link counts as busy for 5 s
	maxLinks   = 1024            // side processes of one gate
	linkTime   = 20 * time.Second
	changes    = 20
	changeTime = 100 * time.Millisecond // between two changes
)

// Links measures one gate with side processes.
func Links(ctx context.Context, p Plan) error {
	t := newTable(p, "links")
	for _, n := range []int{0, 8, 32, 64, 128} {
		if err := control(ctx, t, 1, n, n); err != nil {
			return err
		}
	}
	t.fits()
	return nil
}

// Gates measures one side process with gates.
func Gates(ctx context.Context, p Plan) error {
	t := newTable(p, "gates")
	for _, n := range []int{0, 1, 4, 16} {
		if err := control(ctx, t, n, 1, n); err != nil {
			return err
		}
	}
	t.fits()
	return nil
}

// fake stands for the client of the state cluster: it always has a lease.
type fake struct {
	mu    sync.Mutex
	view  *conf.View
	watch chan struct{}
}

func newFake(keys map[string]any) (*fake, error) {
	d := &wire.Delta{Revision: 1, Full: true}
	for key, value := range keys {
		data, err := json.Marshal(value)
		if err != nil {
			return nil, err
		}
		d.Entries = append(d.Entries, &wire.Entry{Key: key, Value: data})
	}
	view, err := conf.EmptyView().Apply(d)
	return &fake{view: view, watch: make(chan struct{})}, err
}

func (f *fake) View() *conf.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fake) ViewChanged() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watch
}

func (f *fake) LeaseExpiry() time.Time { return time.Now().Add(ident.LeaseDuration) }

func (f *fake) Propose(context.Context, *wire.Command) (*wire.Result, error) {
	return nil, eris.New("no state cluster in this measurement")
}

// change sets one key of the size of a customer.
func (f *fake) change(i int) error {
	value, err := json.Marshal(customer(i))
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	at := uint64(f.view.Revision)
	next, err := f.view.Apply(&wire.Delta{From: at, Revision: at + 1, Entries: []*wire.Entry{{Key: "customers/changing", Value: value}}})
	if err != nil {
		return err
	}
	f.view = next
	close(f.watch)
	f.watch = make(chan struct{})
	return nil
}

func customer(i int) conf.Customer {
	return conf.Customer{Weight: 1 + i%7, KeyDigests: []string{fmt.Sprintf("%064d", i)}, Models: []string{"model-00", "model-01/v2"}, Cascade: "standard"}
}

// fleet returns a configuration with the side processes as members.
func fleet(addrs []string) map[string]any {
	keys := map[string]any{"customers/changing": customer(0)}
	for i, addr := range addrs {
		keys[fmt.Sprintf("members/runner-%04d", i)] = conf.Member{
			Addr: addr, Zone: "zone-a", Presence: conf.MemberLive,
			// Groups of 16, so that the subset of a gate holds all of them.
			Models: []ident.Model{ident.Model(fmt.Sprintf("model-%02d", i/16))},
		}
	}
	return keys
}

// gates runs gates until the group stops, and waits until all links are up.
func gates(ctx context.Context, g *group.Group, m *meter, f *fake, number, links int) error {
	var pools []*pool.Pool
	for i := range number {
		cfg := link.Config{Name: fmt.Sprintf("gate-%03d", i), Keys: keys}
		// One model stands for the whole catalogue, so the gate links to all.
		p := pool.New(pool.WithName(cfg.Name, "zone-a"), pool.WithLinkCount(maxLinks), pool.WithClient(f), pool.WithDialer(func(ctx context.Context, addr string) (*link.Session, error) {
			return dial(ctx, m, addr, cfg)
		}))
		pools = append(pools, p)
		g.Go("pool", p.Run)
	}
	ctx, cancel := context.WithTimeout(ctx, linkTime)
	defer cancel()
	for {
		up := 0
		for _, p := range pools {
			for _, s := range p.Status() {
				if s.Usable {
					up++
				}
			}
		}
		if up == number*links {
			return nil
		}
		if err := sleep(ctx, changeTime); err != nil {
			return eris.Wrapf(err, "%d of %d links are up", up, number*links)
		}
	}
}

func dial(ctx context.Context, m *meter, addr string, cfg link.Config) (*link.Session, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return link.Client(m.conn(conn), cfg)
}

// control measures gates of this process with side processes of a child.
func control(ctx context.Context, t *table, number, links, size int) error {
	c, err := spawn(t.p, "sides", fmt.Sprint(max(links, 1)))
	if err != nil {
		return err
	}
	defer c.stop()
	f, err := newFake(fleet(c.addrs[:links]))
	if err != nil {
		return err
	}
	m := &meter{}
	g := group.New(ctx)
	defer func() {
		g.Stop()
		_ = g.Wait()
	}()
	if err := gates(ctx, g, m, f, number, links); err != nil {
		return err
	}
	if err := sleep(ctx, settle); err != nil {
		return err
	}
	rest, err := watch(ctx, t.p, m, []*child{c})
	if err != nil {
		return err
	}
	near, far := rest[0], rest[1]
	t.add("gate-to-side", "B/s", size, near.sent)
	t.add("side-to-gate", "B/s", size, near.got)
	t.add("gate-writes", "1/s", size, near.writes)
	t.add("side-writes", "1/s", size, far.writes)
	t.add("gate-cpu", "us/s", size, near.cpu)
	t.add("side-cpu", "us/s", size, far.cpu)
	t.add("gate-heap", "KB", size, float64(m.usage(true).Heap)/1000)
	heap, err := c.usage("heap")
	if err != nil {
		return err
	}
	t.add("side-heap", "KB", size, float64(heap.Heap)/1000)
	return pushes(ctx, t, m, f, c, size, near, far)
}

// pushes measures what changes cost above the rest.
func pushes(ctx context.Context, t *table, m *meter, f *fake, c *child, size int, near, far rate) error {
	start, before := time.Now(), m.usage(false)
	other, err := c.usage("cpu")
	if err != nil {
		return err
	}
	for i := range changes {
		if err := f.change(i); err != nil {
			return err
		}
		if err := sleep(ctx, changeTime); err != nil {
			return err
		}
	}
	after, took := m.usage(false), time.Since(start).Seconds()
	otherAfter, err := c.usage("cpu")
	if err != nil {
		return err
	}
	a, b := between(before, after, 1), between(other, otherAfter, 1)
	t.add("change-to-side", "B", size, (a.sent-near.sent*took)/changes)
	t.add("change-to-gate", "B", size, (a.got-near.got*took)/changes)
	t.add("change-gate-cpu", "us", size, (a.cpu-near.cpu*took)/changes)
	t.add("change-side-cpu", "us", size, (b.cpu-far.cpu*took)/changes)
	return nil
}

// Start measures the bytes that bring up one side process with gates, when
// the configuration is as large as one with 4,600 members.
func Start(ctx context.Context, p Plan) error {
	t := newTable(p, "start")
	for _, n := range []int{1, 4, 16} {
		if err := startUp(ctx, t, n); err != nil {
			return err
		}
	}
	t.fits()
	return nil
}

func startUp(ctx context.Context, t *table, n int) error {
	c, err := spawn(t.p, "sides", "1")
	if err != nil {
		return err
	}
	defer c.stop()
	all := fleet(c.addrs)
	full := 0
	for i := range 4600 {
		// Sections that a release does not know are kept and not dialled.
		m := conf.Member{Addr: "10.100.200.30:7000", Zone: "kolkata-a", Presence: conf.MemberLive, Models: []ident.Model{"model-00", "model-01"}}
		key := fmt.Sprintf("padding/runner-%04d", i)
		data, err := json.Marshal(m)
		if err != nil {
			return err
		}
		all[key], full = m, full+len(key)+len(data)
	}
	f, err := newFake(all)
	if err != nil {
		return err
	}
	m := &meter{}
	g := group.New(ctx)
	defer func() {
		g.Stop()
		_ = g.Wait()
	}()
	if err := gates(ctx, g, m, f, n, 1); err != nil {
		return err
	}
	if err := sleep(ctx, settle); err != nil {
		return err
	}
	t.add("configuration", "KB", n, float64(full)/1000)
	t.add("sent-to-side", "KB", n, float64(m.sent.Load())/1000)
	return nil
}
