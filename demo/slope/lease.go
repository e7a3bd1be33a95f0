package slope

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"citronledge.example/core/client"
	"citronledge.example/core/group"
	"citronledge.example/core/ledger"
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
)

const (
	stateCount     = 3                // processes of the cluster
	leaseTimeout   = 30 * time.Second // until all clients have a lease
	inForceTimeout = 10 * time.Second
)

// cluster is a state cluster of child processes with their data in a folder.
type cluster struct {
	dir      string
	children []*child
	peers    []string
	addrs    []string
}

func newCluster(p Plan) (*cluster, error) {
	dir, err := os.MkdirTemp("", "citronledge-slope-")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir}
	var listeners []net.Listener
	for i := range stateCount {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, ln)
		c.addrs = append(c.addrs, ln.Addr().String())
		c.peers = append(c.peers, fmt.Sprintf("state-%d=%s", i+1, c.addrs[i]))
	}
	for _, ln := range listeners { // closed only now, so that all ports differ
		_ = ln.Close()
	}
	for i := range stateCount {
		name := fmt.Sprintf("state-%d", i+1)
		data := filepath.Join(dir, name)
		if err := os.Mkdir(data, 0o700); err != nil {
			return nil, err
		}
		one, err := spawn(p, append([]string{"state", name, data}, c.peers...)...)
		if err != nil {
			c.stop()
			return nil, err
		}
		c.children = append(c.children, one)
	}
	return c, nil
}

func (c *cluster) stop() {
	for _, one := range c.children {
		one.stop()
	}
	_ = os.RemoveAll(c.dir)
}

// splitLeader returns the rate of the leader and the median rate of the followers,
// given the rates of all children.
func (c *cluster) splitLeader(rates []rate) (rate, rate, error) {
	for i, one := range c.children {
		u, err := one.usage("cpu")
		if err != nil {
			return rate{}, rate{}, err
		}
		if u.Leader {
			return rates[i], medianRate(append(append([]rate{}, rates[:i]...), rates[i+1:]...)), nil
		}
	}
	return rate{}, rate{}, eris.New("no state process leads")
}

func (c *cluster) client(m *meter, name string) (*client.Client, error) {
	cfg := link.Config{Name: name, Keys: keys}
	return client.New(client.WithAddresses(c.addrs...), client.WithLink(cfg), client.WithZone("zone-a"),
		client.WithDialer(func(ctx context.Context, addr string) (*link.Session, error) { return dial(ctx, m, addr, cfg) }))
}

// holdLeases starts clients that hold a lease, and waits until each has one.
func (c *cluster) holdLeases(ctx context.Context, g *group.Group, m *meter, count int) ([]*client.Client, error) {
	var list []*client.Client
	for i := range count {
		one, err := c.client(m, fmt.Sprintf("gate-%03d", i))
		if err != nil {
			return nil, err
		}
		list = append(list, one)
		g.Go("lease", func(ctx context.Context) error {
			defer func() { _ = one.Close() }()
			return one.HoldLease(ctx)
		})
	}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	for _, one := range list {
		for !one.LeaseValidAt(time.Now()) {
			if err := sleep(ctx, 10*time.Millisecond); err != nil {
				return nil, eris.Wrap(err, "not every client got its lease")
			}
		}
	}
	return list, nil
}

// MeasureLeases measures a state cluster by the number of lease holders.
func MeasureLeases(ctx context.Context, p Plan) error {
	t := newTable(p, "lease")
	for _, n := range []int{0, 50, 200, 430} {
		if err := measureLeases(ctx, t, n); err != nil {
			return err
		}
	}
	t.printFits()
	return nil
}

func measureLeases(ctx context.Context, t *table, n int) error {
	c, err := newCluster(t.p)
	if err != nil {
		return err
	}
	defer c.stop()
	m := &meter{}
	g := group.New(ctx)
	defer func() {
		g.Stop()
		_ = g.Wait()
	}()
	start := time.Now()
	if _, err := c.holdLeases(ctx, g, m, n); err != nil {
		return err
	}
	t.add("all-leased", "ms", n, float64(time.Since(start).Milliseconds()))
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	idle, err := measureIdle(ctx, t.p, m, c.children)
	if err != nil {
		return err
	}
	idleLeader, idleFollower, err := c.splitLeader(idle[1:])
	if err != nil {
		return err
	}
	local := idle[0]
	t.add("to-leader", "B/s", n, local.sent)
	t.add("from-leader", "B/s", n, local.received)
	t.add("holders-cpu", "us/s", n, local.cpu)
	t.add("leader-cpu", "us/s", n, idleLeader.cpu)
	t.add("follower-cpu", "us/s", n, idleFollower.cpu)
	heaps, err := allUsages(m, c.children, "heap")
	if err != nil {
		return err
	}
	t.add("holders-heap", "KB", n, float64(heaps[0].Heap)/1000)
	for _, u := range heaps[1:] {
		if u.Leader {
			t.add("leader-heap", "KB", n, float64(u.Heap)/1000)
		}
	}
	return c.measureChanges(ctx, t, m, n, local, idleLeader)
}

// measureChanges measures changes, from the proposal until they are in force.
func (c *cluster) measureChanges(ctx context.Context, t *table, m *meter, n int, local, idleLeader rate) error {
	operator, err := c.client(&meter{}, "operator")
	if err != nil {
		return err
	}
	defer func() { _ = operator.Close() }()
	before, err := allUsages(m, c.children, "cpu")
	if err != nil {
		return err
	}
	start := time.Now()
	var times []float64
	for i := range changeCount {
		took, err := c.makeChange(ctx, operator, i)
		if err != nil {
			return err
		}
		times = append(times, took)
	}
	seconds := time.Since(start).Seconds()
	after, err := allUsages(m, c.children, "cpu")
	if err != nil {
		return err
	}
	var costs []rate
	for i := range after {
		costs = append(costs, usageRate(before[i], after[i], changeCount))
	}
	holders := costs[0]
	leader, _, err := c.splitLeader(costs[1:])
	if err != nil {
		return err
	}
	t.add("change-in-force", "ms", n, median(times))
	t.add("change-from-leader", "B", n, holders.received-local.received*seconds/changeCount)
	t.add("change-to-leader", "B", n, holders.sent-local.sent*seconds/changeCount)
	t.add("change-leader-cpu", "us", n, leader.cpu-idleLeader.cpu*seconds/changeCount)
	t.add("change-holders-cpu", "us", n, holders.cpu-local.cpu*seconds/changeCount)
	return nil
}

// makeChange makes a change and returns the milliseconds until it is in force.
func (c *cluster) makeChange(ctx context.Context, operator *client.Client, i int) (float64, error) {
	value, err := json.Marshal(sampleCustomer(i))
	if err != nil {
		return 0, err
	}
	entries := []*wire.Entry{{Key: "customers/changing", Value: value}}
	start := time.Now()
	r, err := operator.Propose(ctx, &wire.Command{Actor: "operator", Kind: &wire.Command_Change{
		Change: &wire.Change{Number: uint64(i + 1), Digest: ledger.ChangeDigest(entries), Entries: entries},
	}})
	if err != nil {
		return 0, err
	}
	a, err := operator.Query(ctx, &wire.Query{Kind: &wire.Query_Wait{
		Wait: &wire.WaitQuery{Revision: r.GetChanged().GetRevision(), Timeout: uint32(inForceTimeout / time.Millisecond)},
	}})
	if err != nil {
		return 0, err
	}
	if !a.GetWaited().GetDone() {
		return 0, eris.New("a change did not come into force")
	}
	return float64(time.Since(start).Microseconds()) / 1000, nil
}
