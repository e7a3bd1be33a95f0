package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"citronledge.example/core/client"
	"citronledge.example/core/ledger"
	"citronledge.example/core/link"
	"citronledge.example/core/server"
	"citronledge.example/core/wire"
)

const keyFile = "keys:\n- {name: k, role: process, secret: MDEyMzQ1Njc4OWFiY2RlZg==}\n"

// TestMain runs the program instead of the tests if RUN_STATE is set: the tests
// start their own binary as a state process.
func TestMain(m *testing.M) {
	if os.Getenv("RUN_STATE") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// cluster is three real state processes on loopback addresses.
type cluster struct {
	t     *testing.T
	dir   string
	peers string
	addrs []string
	procs map[string]*exec.Cmd
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, dir: t.TempDir(), procs: map[string]*exec.Cmd{}}
	var list []string
	var listeners []net.Listener
	for i := range 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, ln)
		c.addrs = append(c.addrs, ln.Addr().String())
		list = append(list, fmt.Sprintf("s%d=%s", i+1, ln.Addr()))
	}
	for _, ln := range listeners {
		_ = ln.Close()
	}
	c.peers = strings.Join(list, ",")
	if err := os.WriteFile(filepath.Join(c.dir, "keys"), []byte(keyFile), 0o600); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		c.start(fmt.Sprintf("s%d", i+1))
	}
	t.Cleanup(func() {
		for i := range 3 {
			if data, err := os.ReadFile(filepath.Join(c.dir, fmt.Sprintf("s%d.log", i+1))); err == nil && t.Failed() {
				t.Logf("s%d:\n%s", i+1, data[max(0, len(data)-4000):])
			}
		}
		for name := range c.procs {
			c.kill(name)
		}
	})
	return c
}

func (c *cluster) start(name string, args ...string) {
	c.t.Helper()
	args = append(args, "--name", name, "--zone", "z", "--keys", filepath.Join(c.dir, "keys"), "--data", filepath.Join(c.dir, name),
		"--peers", c.peers, "--listen", c.addrs[name[1]-'1'], "--grace", "0s")
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "RUN_STATE=1")
	log, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	_ = log.Close()
	c.procs[name] = cmd
}

func (c *cluster) kill(name string) {
	_ = c.procs[name].Process.Kill()
	_ = c.procs[name].Wait()
	delete(c.procs, name)
}

// killAndAwaitNotice kills a process and waits until the leader reports it as
// lost.
func (c *cluster) killAndAwaitNotice(cl *client.Client, name string) {
	c.t.Helper()
	c.kill(name)
	c.waitUntil("loss of "+name+" noticed", func() bool { return !c.allVoters(cl) })
}

// waitUntil polls f until it returns true, and returns how long that took.
func (c *cluster) waitUntil(what string, f func() bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for range tick.C {
		if f() {
			return time.Since(start)
		}
		if time.Since(start) > 30*time.Second {
			c.t.Fatalf("not within 30 s: %s", what)
		}
	}
	return 0
}

func (c *cluster) client() *client.Client {
	c.t.Helper()
	keys, err := link.ParseKeys([]byte(keyFile))
	if err != nil {
		c.t.Fatal(err)
	}
	cl, err := client.New(client.WithAddresses(c.addrs...), client.WithLink(link.Config{Name: "gate", Keys: keys}))
	if err != nil {
		c.t.Fatal(err)
	}
	return cl
}

func (c *cluster) change(cl *client.Client, number uint64) *wire.Changed {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	e := []*wire.Entry{{Key: fmt.Sprintf("customers/c%d", number), Value: []byte("{}")}}
	r, err := cl.Propose(ctx, &wire.Command{Kind: &wire.Command_Change{Change: &wire.Change{Number: number, Digest: ledger.ChangeDigest(e), Entries: e}}})
	if err != nil {
		c.t.Fatalf("change %d: %v", number, err)
	}
	w, err := cl.Query(ctx, &wire.Query{Kind: &wire.Query_Wait{Wait: &wire.WaitQuery{Revision: r.GetChanged().GetRevision(), Timeout: 10_000}}})
	if err != nil || !w.GetWaited().GetDone() {
		c.t.Fatalf("change %d: got %v, %v, want it in force", number, w, err)
	}
	return r.GetChanged()
}

// status returns the status as the leader reports it, or an empty one if there
// is no answer.
func (c *cluster) status(cl *client.Client) *wire.Status {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	a, err := cl.Query(ctx, &wire.Query{Kind: &wire.Query_Status{Status: &wire.StatusQuery{}}})
	if err != nil {
		return &wire.Status{}
	}
	return a.GetStatus()
}

// allVoters reports whether the leader sees all three members as voters that
// respond and have all committed records.
func (c *cluster) allVoters(cl *client.Client) bool {
	s := c.status(cl)
	n := 0
	for _, p := range s.GetPeers() {
		if p.GetVoter() && (p.GetName() == s.GetLeader() || p.GetAlive() && p.GetMatch() >= s.GetCommit()) {
			n++
		}
	}
	return n == 3
}

// Acknowledged changes, their revisions and leases must survive the loss of the
// leader, then of a disk, and of a second process right after the repair.
func TestLosses(t *testing.T) {
	c := newCluster(t)
	cl := c.client()
	ctx, stop := context.WithCancel(context.Background())
	holdEnded := make(chan error, 1)
	go func() { holdEnded <- cl.HoldLease(ctx) }()
	valid := func() bool { return cl.LeaseValidAt(time.Now()) }
	c.waitUntil("first lease", valid)
	c.change(cl, 1)

	leader := c.status(cl).GetLeader()
	c.kill(leader)
	lost := time.Duration(0)
	took := c.waitUntil("next leader", func() bool {
		if !valid() {
			lost += 5 * time.Millisecond
		}
		now := c.status(cl).GetLeader()
		return now != "" && now != leader
	})
	t.Logf("next leader known after %v; no valid lease for about %v", took, lost)
	c.waitUntil("lease after the loss", valid)
	if got := c.change(cl, 2); got.GetRevision() != 2 {
		t.Errorf("got revision %d for the second change, want 2", got.GetRevision())
	}
	c.waitUntil("loss of the leader noticed", func() bool { return !c.allVoters(cl) })
	c.start(leader)
	c.waitUntil("return of the killed process", func() bool { return c.allVoters(cl) })

	c.killAndAwaitNotice(cl, "s2")
	if err := os.RemoveAll(filepath.Join(c.dir, "s2")); err != nil {
		t.Fatal(err)
	}
	c.start("s2", "--join")
	c.waitUntil("repair after the loss of a disk", func() bool { return c.allVoters(cl) })
	c.killAndAwaitNotice(cl, "s3")
	c.change(cl, 3)
	c.waitUntil("all changes in the view", func() bool { return len(cl.View().Customers) == 3 })
	if got := cl.View().Revision; got != 3 {
		t.Errorf("got revision %d, want 3", got)
	}

	c.start("s3")
	c.waitUntil("return of the second process", func() bool { return c.allVoters(cl) })
	stop()
	if err := <-holdEnded; err != nil {
		t.Error(err)
	}
	_ = cl.Close()
	for name, p := range c.procs {
		_ = p.Process.Signal(syscall.SIGTERM)
		if err := p.Wait(); err != nil {
			t.Errorf("%s: got %v after a signal, want exit code 0", name, err)
		}
		delete(c.procs, name)
	}
}

// Leases and changes must go on while the leader is stopped without closing its
// connections, and it must not act on stale state when it resumes.
func TestSilentLeader(t *testing.T) {
	c := newCluster(t)
	cl, other := c.client(), c.client()
	ctx, stop := context.WithCancel(context.Background())
	holdEnded := make(chan error, 1)
	go func() { holdEnded <- cl.HoldLease(ctx) }()
	c.waitUntil("first lease", func() bool { return cl.LeaseValidAt(time.Now()) })
	c.change(other, 1)
	leader := c.status(other).GetLeader()
	if err := c.procs[leader].Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	lost, start := time.Duration(0), time.Now()
	c.waitUntil("lease from the next leader", func() bool {
		if !cl.LeaseValidAt(time.Now()) {
			lost += 5 * time.Millisecond
		}
		return cl.LeaseExpiry().After(start.Add(4 * time.Second))
	})
	t.Logf("no valid lease for about %v", lost)
	start = time.Now()
	c.change(other, 2)
	t.Logf("change in force after %v", time.Since(start))
	if err := c.procs[leader].Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	c.waitUntil("return of the silent process", func() bool { return c.allVoters(other) })
	c.change(other, 3)
	c.waitUntil("all changes in the view", func() bool { return len(cl.View().Customers) == 3 })
	stop()
	if err := <-holdEnded; err != nil {
		t.Error(err)
	}
}

// All faults of the settings must be reported at once, not one at a time.
func TestSettings(t *testing.T) {
	keys := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(keys, []byte(keyFile), 0o600); err != nil {
		t.Fatal(err)
	}
	good := []string{"--name", "s1", "--zone", "z", "--keys", keys, "--data", "d", "--peers", "s1=h:1,s2=h:2,s3=h:3"}
	tests := map[string]struct {
		args []string
		want []string
	}{
		"good":          {good, nil},
		"all at once":   {nil, []string{"--name", "--zone", "--keys", "--data", "--peers"}},
		"not a peer":    {append(good[:8:8], "--peers", "s2=h:2,s3=h:3,s4=h:4"), []string{"add s1=HOST:PORT"}},
		"even":          {append(good[:8:8], "--peers", "s1=h:1,s2=h:2"), []string{"odd number"}},
		"repeated":      {append(good[:8:8], "--peers", "s1=h:1,s2=h:1,s3=h:3"), []string{"repeats"}},
		"members":       {append(good[:10:10], "--members", "x"), []string{"--members"}},
		"unknown flags": {[]string{"--odd"}, []string{"settings"}},
	}
	for name, tt := range tests {
		err := server.LoadSettings("state", tt.args, &settings{})
		if (err == nil) != (tt.want == nil) {
			t.Errorf("%s: got %v, want %v", name, err, tt.want)
		}
		for _, want := range tt.want {
			if err != nil && !strings.Contains(err.Error(), want) {
				t.Errorf("%s: got %q, want it to name %q", name, err, want)
			}
		}
	}
}
