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
	settleTime     = 8 * time.Second  // after the links are up; a new link counts as busy for 5 s
	maxLinks       = 1024             // side processes of one gate
	linkTimeout    = 20 * time.Second // until all links are up
	changeCount    = 20
	changeInterval = 100 * time.Millisecond
)

// MeasureLinks measures one gate by the number of side processes.
func MeasureLinks(ctx context.Context, p Plan) error {
	t := newTable(p, "links")
	for _, n := range []int{0, 8, 32, 64, 128} {
		if err := measureControlTraffic(ctx, t, 1, n, n); err != nil {
			return err
		}
	}
	t.printFits()
	return nil
}

// MeasureGates measures one side process by the number of gates.
func MeasureGates(ctx context.Context, p Plan) error {
	t := newTable(p, "gates")
	for _, n := range []int{0, 1, 4, 16} {
		if err := measureControlTraffic(ctx, t, n, 1, n); err != nil {
			return err
		}
	}
	t.printFits()
	return nil
}

// fakeClient replaces the client of the state cluster. It always has a lease.
type fakeClient struct {
	mu    sync.Mutex
	view  *conf.View
	watch chan struct{}
}

func newFakeClient(keys map[string]any) (*fakeClient, error) {
	d := &wire.Delta{Revision: 1, Full: true}
	for key, value := range keys {
		data, err := json.Marshal(value)
		if err != nil {
			return nil, err
		}
		d.Entries = append(d.Entries, &wire.Entry{Key: key, Value: data})
	}
	view, err := conf.EmptyView().Apply(d)
	return &fakeClient{view: view, watch: make(chan struct{})}, err
}

func (f *fakeClient) View() *conf.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeClient) ViewChanged() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watch
}

func (f *fakeClient) LeaseExpiry() time.Time { return time.Now().Add(ident.LeaseDuration) }

func (f *fakeClient) Propose(context.Context, *wire.Command) (*wire.Result, error) {
	return nil, eris.New("no state cluster in this measurement")
}

// changeCustomer sets one key to a value of the size of a customer.
func (f *fakeClient) changeCustomer(i int) error {
	value, err := json.Marshal(sampleCustomer(i))
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	revision := uint64(f.view.Revision)
	next, err := f.view.Apply(&wire.Delta{From: revision, Revision: revision + 1, Entries: []*wire.Entry{{Key: "customers/changing", Value: value}}})
	if err != nil {
		return err
	}
	f.view = next
	close(f.watch)
	f.watch = make(chan struct{})
	return nil
}

func sampleCustomer(i int) conf.Customer {
	return conf.Customer{Weight: 1 + i%7, KeyDigests: []string{fmt.Sprintf("%064d", i)}, Models: []string{"model-00", "model-01/v2"}, Cascade: "standard"}
}

// fleetConfig returns a configuration with the side processes as members.
func fleetConfig(addrs []string) map[string]any {
	keys := map[string]any{"customers/changing": sampleCustomer(0)}
	for i, addr := range addrs {
		keys[fmt.Sprintf("members/runner-%04d", i)] = conf.Member{
			Addr: addr, Zone: "zone-a", Presence: conf.MemberLive,
			// Groups of 16, so that the subset of a gate holds all of them.
			Models: []ident.Model{ident.Model(fmt.Sprintf("model-%02d", i/16))},
		}
	}
	return keys
}

// runGates runs gates until the group stops, and waits until all links are up.
func runGates(ctx context.Context, g *group.Group, m *meter, f *fakeClient, gateCount, linkCount int) error {
	var pools []*pool.Pool
	for i := range gateCount {
		cfg := link.Config{Name: fmt.Sprintf("gate-%03d", i), Keys: keys}
		// A single model represents the whole catalogue, so the gate links to all.
		p := pool.New(pool.WithName(cfg.Name, "zone-a"), pool.WithLinkCount(maxLinks), pool.WithClient(f), pool.WithDialer(func(ctx context.Context, addr string) (*link.Session, error) {
			return dial(ctx, m, addr, cfg)
		}))
		pools = append(pools, p)
		g.Go("pool", p.Run)
	}
	ctx, cancel := context.WithTimeout(ctx, linkTimeout)
	defer cancel()
	for {
		usable := 0
		for _, p := range pools {
			for _, s := range p.Status() {
				if s.Usable {
					usable++
				}
			}
		}
		if usable == gateCount*linkCount {
			return nil
		}
		if err := sleep(ctx, changeInterval); err != nil {
			return eris.Wrapf(err, "%d of %d links are up", usable, gateCount*linkCount)
		}
	}
}

func dial(ctx context.Context, m *meter, addr string, cfg link.Config) (*link.Session, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return link.Client(m.wrap(conn), cfg)
}

// measureControlTraffic measures gates in this process that are linked to side
// processes in a child.
func measureControlTraffic(ctx context.Context, t *table, gateCount, linkCount, size int) error {
	c, err := spawn(t.p, "sides", fmt.Sprint(max(linkCount, 1)))
	if err != nil {
		return err
	}
	defer c.stop()
	f, err := newFakeClient(fleetConfig(c.addrs[:linkCount]))
	if err != nil {
		return err
	}
	m := &meter{}
	g := group.New(ctx)
	defer func() {
		g.Stop()
		_ = g.Wait()
	}()
	if err := runGates(ctx, g, m, f, gateCount, linkCount); err != nil {
		return err
	}
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	idle, err := measureIdle(ctx, t.p, m, []*child{c})
	if err != nil {
		return err
	}
	local, remote := idle[0], idle[1]
	t.add("gate-to-side", "B/s", size, local.sent)
	t.add("side-to-gate", "B/s", size, local.received)
	t.add("gate-writes", "1/s", size, local.writes)
	t.add("side-writes", "1/s", size, remote.writes)
	t.add("gate-cpu", "us/s", size, local.cpu)
	t.add("side-cpu", "us/s", size, remote.cpu)
	t.add("gate-heap", "KB", size, float64(m.usage(true).Heap)/1000)
	heap, err := c.usage("heap")
	if err != nil {
		return err
	}
	t.add("side-heap", "KB", size, float64(heap.Heap)/1000)
	return measureConfigPushes(ctx, t, m, f, c, size, local, remote)
}

// measureConfigPushes measures the cost of changes above the idle cost.
func measureConfigPushes(ctx context.Context, t *table, m *meter, f *fakeClient, c *child, size int, local, remote rate) error {
	start, before := time.Now(), m.usage(false)
	childBefore, err := c.usage("cpu")
	if err != nil {
		return err
	}
	for i := range changeCount {
		if err := f.changeCustomer(i); err != nil {
			return err
		}
		if err := sleep(ctx, changeInterval); err != nil {
			return err
		}
	}
	after, took := m.usage(false), time.Since(start).Seconds()
	childAfter, err := c.usage("cpu")
	if err != nil {
		return err
	}
	gates, sides := usageRate(before, after, 1), usageRate(childBefore, childAfter, 1)
	t.add("change-to-side", "B", size, (gates.sent-local.sent*took)/changeCount)
	t.add("change-to-gate", "B", size, (gates.received-local.received*took)/changeCount)
	t.add("change-gate-cpu", "us", size, (gates.cpu-local.cpu*took)/changeCount)
	t.add("change-side-cpu", "us", size, (sides.cpu-remote.cpu*took)/changeCount)
	return nil
}

// MeasureStart measures the bytes that gates send to one side process when they link
// to it, with a configuration as large as one with 4,600 members.
func MeasureStart(ctx context.Context, p Plan) error {
	t := newTable(p, "start")
	for _, n := range []int{1, 4, 16} {
		if err := measureStart(ctx, t, n); err != nil {
			return err
		}
	}
	t.printFits()
	return nil
}

func measureStart(ctx context.Context, t *table, n int) error {
	c, err := spawn(t.p, "sides", "1")
	if err != nil {
		return err
	}
	defer c.stop()
	config := fleetConfig(c.addrs)
	configBytes := 0
	for i := range 4600 {
		// Unknown sections of the configuration are kept, but no address in them is
		// dialled.
		m := conf.Member{Addr: "10.100.200.30:7000", Zone: "kolkata-a", Presence: conf.MemberLive, Models: []ident.Model{"model-00", "model-01"}}
		key := fmt.Sprintf("padding/runner-%04d", i)
		data, err := json.Marshal(m)
		if err != nil {
			return err
		}
		config[key], configBytes = m, configBytes+len(key)+len(data)
	}
	f, err := newFakeClient(config)
	if err != nil {
		return err
	}
	m := &meter{}
	g := group.New(ctx)
	defer func() {
		g.Stop()
		_ = g.Wait()
	}()
	if err := runGates(ctx, g, m, f, n, 1); err != nil {
		return err
	}
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	t.add("configuration", "KB", n, float64(configBytes)/1000)
	t.add("sent-to-side", "KB", n, float64(m.sent.Load())/1000)
	return nil
}
