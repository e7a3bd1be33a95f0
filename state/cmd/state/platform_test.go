package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"citronledge.example/core/client"
	"citronledge.example/core/conf"
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
)

// platformCluster are state processes with settings from the users' platform,
// each on its own loopback address and all on the same ports.
type platformCluster struct {
	t     *testing.T
	dir   string
	port  int // internal port; the operator API is on port+1
	procs map[string]*exec.Cmd
	seeds []string
	// diskless are the addresses of processes without a data folder.
	diskless []string
}

const waitTimeout = 20 * time.Second // of each wait for the processes

func newPlatformCluster(t *testing.T, ips ...string) *platformCluster {
	h := &platformCluster{t: t, dir: t.TempDir(), procs: map[string]*exec.Cmd{}, seeds: ips}
	if err := os.WriteFile(filepath.Join(h.dir, "keys"), []byte(keyFile), 0o600); err != nil {
		t.Fatal(err)
	}
	for h.port == 0 {
		h.port = freePorts(20000+rand.IntN(10000), ips)
	}
	t.Cleanup(func() {
		for ip := range h.procs {
			h.kill(ip)
		}
	})
	return h
}

// freePorts returns port if it and the next two ports are free on all addresses,
// and 0 otherwise.
func freePorts(port int, ips []string) int {
	for _, ip := range ips {
		for p := port; p < port+3; p++ {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				return 0
			}
			_ = ln.Close()
		}
	}
	return port
}

func (h *platformCluster) operators(ip string) string { return fmt.Sprintf("%s:%d", ip, h.port+1) }

func (h *platformCluster) data(ip string) string { return filepath.Join(h.dir, "data-"+ip) }

// start starts the process at an address with the current seeds; bootstrap sets
// the platform's bootstrap setting.
func (h *platformCluster) start(ip string, bootstrap bool) {
	h.t.Helper()
	var seeds []string
	for _, s := range h.seeds {
		seeds = append(seeds, h.operators(s))
	}
	node := map[string]any{
		"node-name": "node-" + ip, "ip": ip, "zone": "a", "listen": map[string]string{"control-plane": h.operators(ip)},
		"internal-port-range": []int{h.port, h.port}, "seed-nodes": seeds, "bootstrap": bootstrap, "data-dir": h.data(ip),
		"limits": map[string]int{"memory-mb": 134}, "fault-tolerance": map[string]int{"machines": 1}, "bounds": map[string]any{"grace-period-s": 8},
	}
	if slices.Contains(h.diskless, ip) {
		delete(node, "data-dir")
	}
	text, err := json.Marshal(node)
	if err != nil {
		h.t.Fatal(err)
	}
	file := filepath.Join(h.dir, "node-"+ip)
	if err := os.WriteFile(file, text, 0o600); err != nil {
		h.t.Fatal(err)
	}
	log, err := os.OpenFile(filepath.Join(h.dir, "log-"+ip), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		h.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(os.Args[0], "--platform", "--keys", filepath.Join(h.dir, "keys"), "--admin", "0.0.0.0:0")
	cmd.Env = append(os.Environ(), "RUN_STATE=1", "CITRONLEDGE_NODE_FILE="+file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		h.t.Fatal(err)
	}
	h.procs[ip] = cmd
}

func (h *platformCluster) kill(ip string) {
	_ = h.procs[ip].Process.Signal(syscall.SIGKILL)
	_ = h.procs[ip].Wait()
	delete(h.procs, ip)
}

// call makes one operator call and follows redirects; status 0 means no answer.
func (h *platformCluster) call(ip, method, path, body string) (int, string) {
	c := &http.Client{Timeout: time.Second}
	req, err := http.NewRequest(method, "http://"+h.operators(ip)+path, bytes.NewReader([]byte(body)))
	if err != nil {
		h.t.Fatal(err)
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// waitUntil calls f until it returns an empty string instead of what is
// missing.
func (h *platformCluster) waitUntil(what string, f func() string) {
	h.t.Helper()
	last := ""
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if last = f(); last == "" {
			return
		}
	}
	for ip := range h.procs {
		log, _ := os.ReadFile(filepath.Join(h.dir, "log-"+ip))
		h.t.Logf("log of %s:\n%s", ip, log)
	}
	h.t.Fatalf("%s: %s", what, last)
}

func config(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h","path-prefix":"/","type":"safe","timeout-ms":100,"service":"s"}],"services":[{"name":"s"}]}`, version)
}

// replaceUntilAcked sends a configuration until it is acknowledged.
func (h *platformCluster) replaceUntilAcked(ip string, version int) {
	h.t.Helper()
	h.waitUntil(fmt.Sprintf("version %d acknowledged", version), func() string {
		status, text := h.call(ip, http.MethodPost, "/api/configuration/replace", config(version))
		if status == http.StatusOK {
			return ""
		}
		return fmt.Sprint(status, text)
	})
}

// awaitVersion waits until a process answers with a configuration, and fails at
// once if it has another version.
func (h *platformCluster) awaitVersion(ip string, version int) {
	h.t.Helper()
	h.waitUntil(fmt.Sprintf("%s reads version %d", ip, version), func() string {
		status, text := h.call(ip, http.MethodGet, "/api/configuration/read", "")
		switch {
		case status != http.StatusOK:
			return fmt.Sprint(status, text)
		case !strings.HasPrefix(text, fmt.Sprintf(`{"version":%d,`, version)):
			h.t.Fatalf("%s reads %s, want version %d", ip, text, version)
		}
		return ""
	})
}

// An acknowledged configuration must survive a kill of all state processes, a
// lost disk and a lost VM, and no process may answer with an older one.
func TestPlatformConfigSurvivesLosses(t *testing.T) {
	a, b, c, d := "127.0.77.1", "127.0.77.2", "127.0.77.3", "127.0.77.4"
	h := newPlatformCluster(t, a, b, c)
	for _, ip := range []string{a, b, c} {
		h.start(ip, true)
	}
	h.replaceUntilAcked(a, 4)
	for _, ip := range []string{a, b, c} {
		h.awaitVersion(ip, 4)
	}
	if status, text := h.call(b, http.MethodPost, "/api/configuration/replace", strings.Replace(config(4), "100", "200", 1)); status != http.StatusConflict {
		t.Errorf("got %d %s for other content under the version in force, want 409", status, text)
	}
	if status, _ := h.call(b, http.MethodPost, "/api/configuration/replace", config(9)[:80]); status != http.StatusBadRequest {
		t.Errorf("got %d for a truncated configuration, want 400", status)
	}

	for _, ip := range []string{a, b, c} { // all down before the first restart
		h.kill(ip)
	}
	for _, ip := range []string{a, b, c} {
		h.start(ip, false)
	}
	h.awaitVersion(c, 4)
	h.replaceUntilAcked(b, 7)

	h.kill(a) // restarts with an empty disk
	if err := os.RemoveAll(h.data(a)); err != nil {
		t.Fatal(err)
	}
	h.start(a, false)
	h.awaitVersion(a, 7)
	h.awaitVoter(a)

	h.kill(b) // lost for good; another VM replaces it
	h.start(d, false)
	h.awaitVersion(d, 7)
	h.awaitVoter(d)
	h.kill(c) // only the two processes that joined later are left
	h.replaceUntilAcked(d, 11)
	h.awaitVersion(a, 11)
}

// TestPlatformReplacedVoter guards against a process that is replaced as planned
// work and stays a voter: a disk lost right after it would stop the cluster.
func TestPlatformReplacedVoter(t *testing.T) {
	a, b, c, d := "127.0.81.1", "127.0.81.2", "127.0.81.3", "127.0.81.4"
	h := newPlatformCluster(t, a, b, c)
	for _, ip := range []string{a, b, c} {
		h.start(ip, true)
	}
	h.replaceUntilAcked(a, 4)
	h.start(d, false)
	h.awaitVoter(d)
	_ = h.procs[a].Process.Signal(syscall.SIGTERM) // gone for good
	if err := h.procs[a].Wait(); err != nil {
		t.Errorf("got %v from a planned stop, want no error", err)
	}
	delete(h.procs, a)
	h.kill(b)
	if err := os.RemoveAll(h.data(b)); err != nil {
		t.Fatal(err)
	}
	h.replaceUntilAcked(d, 7)
	h.start(b, false)
	h.awaitVersion(b, 7)
	h.awaitVoter(b)
	h.awaitVersion(c, 7)
}

// TestPlatformDiskLostBesideRemovedVoter guards against a core that never has a
// leader again: a VM is removed without SIGTERM after its successor votes, and then
// another one, or the successor, loses its disk.
func TestPlatformDiskLostBesideRemovedVoter(t *testing.T) {
	for name, x := range map[string]struct {
		host      int // 127.0.host.*
		lost      int // 2 or 3 is an old VM, 4 the successor
		lossFirst bool
	}{
		"an old VM":               {87, 2, false},
		"the successor":           {88, 4, false},
		"before the removal":      {89, 3, true},
		"successor, then removal": {90, 4, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ip := func(n int) string { return fmt.Sprintf("127.0.%d.%d", x.host, n) }
			h := newPlatformCluster(t, ip(1), ip(2), ip(3))
			for n := 1; n <= 3; n++ {
				h.start(ip(n), true)
			}
			h.replaceUntilAcked(ip(1), 4)
			h.start(ip(4), false)
			h.awaitVoter(ip(4))
			lost := ip(x.lost)
			h.replaceUntilAcked(lost, 5)
			for _, gone := range map[bool][]string{false: {ip(1), lost}, true: {lost, ip(1)}}[x.lossFirst] {
				h.kill(gone)
			}
			if err := os.RemoveAll(h.data(lost)); err != nil {
				t.Fatal(err)
			}
			h.start(lost, false)
			h.awaitVersion(lost, 5)
			h.awaitVoter(lost)
			h.replaceUntilAcked(lost, 7)
		})
	}
}

// awaitVoter waits until the log of a process says that it is a voter.
func (h *platformCluster) awaitVoter(ip string) {
	h.t.Helper()
	h.waitUntil(ip+" votes", func() string {
		log, err := os.ReadFile(filepath.Join(h.dir, "log-"+ip))
		if err != nil {
			return err.Error()
		}
		text := string(log)
		if i := strings.LastIndex(text, "State process started"); !strings.Contains(text[max(0, i):], "Voter of the state cluster") {
			return "no vote yet"
		}
		return ""
	})
}

// A process with an empty disk must never bootstrap a cluster after the first
// start of the system, whatever its seeds are.
func TestPlatformNeverBootstrapsTwice(t *testing.T) {
	a, b, c := "127.0.78.1", "127.0.78.2", "127.0.78.3"
	h := newPlatformCluster(t, a, b, c)
	for _, ip := range []string{a, b, c} {
		h.start(ip, false)
	}
	end := time.Now().Add(3 * time.Second)
	for ; time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, text := h.call(a, http.MethodPost, "/api/configuration/replace", config(1)); status == http.StatusOK {
			t.Fatalf("three empty disks acknowledged a configuration: %s", text)
		}
	}
}

// A state process without a disk must not exit or block its callers: operators
// and joining processes that have no other address reach the leader through it,
// also after the loss of the first leader and after a restart of all processes.
func TestPlatformWithoutDisk(t *testing.T) {
	a, b, c, d, e := "127.0.79.1", "127.0.79.2", "127.0.79.3", "127.0.79.4", "127.0.79.5"
	h := newPlatformCluster(t, a, b, c, d, e)
	h.seeds, h.diskless = []string{a, b, c}, []string{d}
	for _, ip := range []string{a, b, c, d} {
		h.start(ip, true)
	}
	h.replaceUntilAcked(d, 4)
	h.awaitVersion(d, 4)
	h.commandUntilAcked("/api/evacuations/zone-1/begin", d)
	h.kill(a) // lost for good
	h.replaceUntilAcked(d, 5)

	h.seeds = []string{d}
	h.start(e, false)
	h.awaitVoter(e)
	h.awaitVersion(e, 5)
	h.kill(b)
	h.replaceUntilAcked(d, 6)

	for _, ip := range []string{c, d, e} { // all that are left
		h.kill(ip)
	}
	for _, ip := range []string{c, d, e} {
		h.start(ip, false)
	}
	h.awaitVersion(d, 6)
	h.awaitEvacuated("[zone-1]", c, e)
	h.commandUntilAcked("/api/evacuations/zone-1/finish", d)
	h.awaitEvacuated("[]", c, e)
	h.replaceUntilAcked(d, 7)
}

// A SIGHUP (reload) at any moment after the start, even during a planned stop,
// must not kill the process.
func TestSIGHUPDuringStop(t *testing.T) {
	a := "127.0.80.1"
	h := newPlatformCluster(t, a)
	for range 5 {
		h.start(a, true)
		h.waitUntil("answer to operators", func() string {
			if status, text := h.call(a, http.MethodGet, "/api/configuration/read", ""); status == 0 {
				return text
			}
			return ""
		})
		cmd := h.procs[a]
		ended := make(chan error, 1)
		go func() { ended <- cmd.Wait() }()
		_ = cmd.Process.Signal(syscall.SIGTERM)
		var err error
		for running := true; running; {
			select {
			case err = <-ended:
				running = false
			default:
				_ = cmd.Process.Signal(syscall.SIGHUP) // fails when the process has ended
			}
		}
		delete(h.procs, a)
		if err != nil {
			t.Fatalf("got %v from a planned stop with reloads, want no error", err)
		}
	}
}

// commandUntilAcked sends an operator's call without a body, to one process after
// the other, until it is acknowledged.
func (h *platformCluster) commandUntilAcked(path string, ips ...string) {
	h.t.Helper()
	h.waitUntil(path+" acknowledged", func() string {
		status, text := h.call(ips[0], http.MethodPost, path, "")
		ips = append(slices.Clone(ips[1:]), ips[0])
		if status >= 400 && status < 500 {
			h.t.Fatalf("%s: refused with %d %s", path, status, text)
		}
		if status == http.StatusOK {
			return ""
		}
		return fmt.Sprint(status, text)
	})
}

// awaitEvacuated waits until the cluster sends a configuration, as gates receive it,
// and fails at once if other zones are evacuated in it. It returns the leader.
func (h *platformCluster) awaitEvacuated(want string, ips ...string) (leader string) {
	h.t.Helper()
	keys, err := link.ParseKeys([]byte(keyFile))
	if err != nil {
		h.t.Fatal(err)
	}
	var addrs []string
	for _, ip := range ips {
		addrs = append(addrs, fmt.Sprintf("%s:%d", ip, h.port))
	}
	c, err := client.New(client.WithAddresses(addrs...), client.WithLink(link.Config{Name: "gate", Keys: keys}))
	if err != nil {
		h.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	h.waitUntil("configuration with evacuated zones "+want, func() string {
		ctx, cancel := context.WithTimeout(h.t.Context(), time.Second)
		defer cancel()
		a, err := c.Query(ctx, &wire.Query{Kind: &wire.Query_Config{Config: &wire.ConfigQuery{}}})
		if err != nil {
			return err.Error()
		}
		v, err := conf.EmptyView().Apply(a.GetConfig())
		if err != nil {
			h.t.Fatal(err)
		}
		if got := fmt.Sprint(slices.Sorted(maps.Keys(v.Evacuations))); got != want {
			h.t.Fatalf("got evacuated zones %s, want %s", got, want)
		}
		if a, err = c.Query(ctx, &wire.Query{Kind: &wire.Query_Status{Status: &wire.StatusQuery{}}}); err != nil {
			return err.Error()
		}
		leader, _, _ = strings.Cut(a.GetStatus().GetLeader(), ":")
		return ""
	})
	return leader
}

// A confirmed evacuation must survive a kill of all state processes and the loss of
// the leader with its disk, and a confirmed end must not be undone by them. Repeated
// calls must be confirmed, at any process.
func TestPlatformEvacuationSurvivesLosses(t *testing.T) {
	all := []string{"127.0.82.1", "127.0.82.2", "127.0.82.3"}
	h := newPlatformCluster(t, all...)
	restart := func() {
		for _, ip := range all { // all down before the first restart
			h.kill(ip)
		}
		for _, ip := range all {
			h.start(ip, false)
		}
	}
	for _, ip := range all {
		h.start(ip, true)
	}
	h.commandUntilAcked("/api/evacuations/zone-1/begin", all...)
	for _, ip := range all {
		h.commandUntilAcked("/api/evacuations/zone-1/begin", ip)
	}
	h.commandUntilAcked("/api/evacuations/zone-2/begin", all...)
	restart()
	leader := h.awaitEvacuated("[zone-1 zone-2]", all...)
	for _, ip := range all {
		h.awaitVoter(ip)
	}
	h.commandUntilAcked("/api/evacuations/zone-1/finish", all...)
	h.kill(leader) // restarts with an empty disk
	if err := os.RemoveAll(h.data(leader)); err != nil {
		t.Fatal(err)
	}
	h.awaitEvacuated("[zone-2]", all...)
	h.start(leader, false)
	h.awaitVoter(leader)
	h.commandUntilAcked("/api/evacuations/zone-1/finish", leader)
	restart()
	h.awaitEvacuated("[zone-2]", all...)
}
