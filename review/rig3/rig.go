// Command rig3 plays the cases 11, 13 and 14 of this review: it starts the project's own
// programs on loopback addresses, with stand-ins for the platform, the runners, the
// clients and the operator, and checks a rule of the platform.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun is how long a case may run.
const maxRun = 118 * time.Second

// cases are the cases by number. A case returns whether the rule was broken.
var cases = map[string]func(*rig) (bool, error){"11": lostCore, "13": crashWhileAnswering, "14": crashAfterEvent}

func main() {
	// Processes end with the thread that started them, also when this one is killed.
	runtime.LockOSThread()
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 NUMBER FOLDER, at the root of the repository")
		return exitNotRun
	}
	r, err := newRig(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := cases[os.Args[1]](r)
		done <- outcome{broken, err}
	}()
	timeout := time.After(maxRun)
	for {
		select {
		case f := <-r.onMain:
			f()
		case o := <-done:
			switch {
			case o.err != nil:
				r.note("could not run: %v", o.err)
				return exitNotRun
			case o.broken:
				r.note("RULE BROKEN")
				return exitBroken
			}
			r.note("rule held")
			return exitHeld
		case <-timeout:
			r.note("could not run: it took longer than %v", maxRun)
			return exitNotRun
		}
	}
}

// rig holds what a case starts.
type rig struct {
	trouble bool
	start   time.Time
	temp    string
	prefix  string // of the loopback addresses, such as "127.41.7."
	base    int    // first port
	onMain  chan func()

	mu     sync.Mutex
	record *os.File
	procs  []*process
}

// Ports, as offsets from the first one; they are the same on all machines.
const (
	portReadiness = iota
	portFrontend
	portControl
	portCloud
	portRunner
	portInternal // the first of 16
	portCount    = portInternal + 16
)

func newRig(folder string) (*rig, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	r := &rig{trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), temp: temp, record: record, onMain: make(chan func())}
	for range 100 {
		r.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		r.base = 20000 + rand.IntN(10000)
		if r.portsFree() {
			r.note("addresses %s*, ports from %d, trouble %v", r.prefix, r.base, r.trouble)
			return r, nil
		}
	}
	return nil, errors.New("no free ports")
}

func (r *rig) portsFree() bool {
	ports := []int{9464, 9465}
	for i := range portCount {
		ports = append(ports, r.base+i)
	}
	for _, port := range ports {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", r.prefix, port))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.record, line)
	if os.Getenv("QUIET") == "" {
		fmt.Println(line)
	}
}

func (r *rig) close() {
	r.mu.Lock()
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	_ = os.RemoveAll(r.temp)
	_ = r.record.Close()
}

// machine is a machine of the system.
type machine struct {
	r        *rig
	name, ip string
	zone     string
	dir      string // its disk
	settings string // path of its settings file
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, m.r.base+port) }

// newMachine returns a machine with an empty disk.
func (r *rig) newMachine(number int, zone string) *machine {
	m := &machine{r: r, name: fmt.Sprintf("edge-%s-%d", zone, number), ip: fmt.Sprintf("%s%d", r.prefix, number), zone: zone}
	m.dir = filepath.Join(r.temp, m.name, "data")
	m.settings = filepath.Join(r.temp, m.name, "settings.json")
	return m
}

// writeSettings writes the settings file as the pages show it. The figures are those
// of borsha-ferot.
func (m *machine) writeSettings(bootstrap bool, seeds []*machine, cloud string) error {
	var seedAddrs []string
	for _, s := range seeds {
		seedAddrs = append(seedAddrs, s.addr(portControl))
	}
	zones := map[string]string{"kolkata-a": "bangla-east", "howrah-b": "bangla-east", "salt-lake-c": "bangla-east"}
	text, err := json.MarshalIndent(map[string]any{
		"node-name": m.name, "role": "state", "machine-class": "edge", "serves": []string{"edge", "control"},
		"ip": m.ip, "zone": m.zone, "region": "bangla-east", "zones": zones,
		"listen":              map[string]string{"frontend": m.addr(portFrontend), "readiness": m.addr(portReadiness), "control-plane": m.addr(portControl)},
		"internal-port-range": []int{m.r.base + portInternal, m.r.base + portInternal + 15},
		"seed-nodes":          seedAddrs, "bootstrap": bootstrap, "counts-as-loss": true,
		"limits":   map[string]any{"cpu-share": 0.72, "cpu-cores": 1, "memory-mb": 134, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 64},
		"data-dir": m.dir, "discovery": "cloud_api", "entry": "vip", "heartbeat-ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "rollout"},
		"fault-tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-timeout-ms": 4000, "catch-up-s": 4, "drain-timeout-ms": 3000, "grace-period-s": 8,
			"loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-skew-ms": 5000, "strict-revocation": false, "revocation-ms": 5000,
			"retry-budget-ratio": 0.9, "retry-window-s": 10, "budget-slack": 64, "canary-share": 0.15, "canary-tolerance": 30, "rollback-ms": 5000,
			"recovery-s": 12, "max-delivery-ms": 120, "reuse-window-s": 7.8, "session-s": 5,
		},
		"config-mode": "highest",
		"cloud-api":   map[string]any{"address": cloud, "rate-per-s": 47.0, "duties": []string{}, "max-lag-ms": 800},
	}, "", " ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(m.dir, 0o700); err != nil {
		return err
	}
	return os.WriteFile(m.settings, text, 0o600)
}

// process is a process of the system on a machine.
type process struct {
	m    *machine
	role string
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended
	log  string        // path

	mu     sync.Mutex
	killed bool // by the case
}

// startRole starts a role of the deploy file on a machine, with its line `run`.
func (m *machine) startRole(role string) (*process, error) {
	p := &process{m: m, role: role, done: make(chan struct{}), log: filepath.Join(m.r.temp, fmt.Sprintf("%s-%s-%d.log", m.name, role, time.Now().UnixNano()))}
	out, err := os.Create(p.log)
	if err != nil {
		return nil, err
	}
	p.cmd = exec.Command("target/"+role, "--platform", "--config", "deploy/"+role+".yaml")
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CITRONLEDGE_NODE_FILE=" + m.settings}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	m.r.onMain <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return nil, err
	}
	m.r.mu.Lock()
	m.r.procs = append(m.r.procs, p)
	m.r.mu.Unlock()
	go func() {
		err := p.cmd.Wait()
		_ = out.Close()
		p.mu.Lock()
		killed := p.killed
		p.mu.Unlock()
		if !killed {
			m.r.note("%s on %s ended by itself: %v", role, m.name, err)
		}
		close(p.done)
	}()
	m.r.note("%s started on %s (%s), process %d", role, m.name, m.ip, p.cmd.Process.Pid)
	return p, nil
}

// started returns all processes that were started.
func (r *rig) started() []*process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*process(nil), r.procs...)
}

// kill ends a process with SIGKILL and waits for its end.
func (p *process) kill() { p.signal(syscall.SIGKILL); <-p.done }

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// logLines returns the lines of the log that have one of the texts.
func (p *process) logLines(texts ...string) (lines []string) {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return nil
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		for _, text := range texts {
			if strings.Contains(line, text) {
				lines = append(lines, line)
				break
			}
		}
	}
	return lines
}

// operator sends orders as the pages say: to any node of its list, on after a
// failure, and after up to two redirections.
type operator struct {
	r      *rig
	client *http.Client

	mu    sync.Mutex
	nodes []*machine
	next  int
}

func (r *rig) newOperator(nodes ...*machine) *operator {
	o := &operator{r: r, nodes: nodes}
	o.client = &http.Client{Timeout: time.Second, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return errors.New("more than two redirections")
		}
		return nil
	}}
	return o
}

func (o *operator) setNodes(nodes ...*machine) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.nodes = nodes
}

func (o *operator) pick() *machine {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.next++
	return o.nodes[o.next%len(o.nodes)]
}

// answer is the answer to one call of the operator.
type answer struct {
	status int
	body   []byte
	from   string // HOST:PORT of the process that answered
}

func (o *operator) call(m *machine, method, path string, body []byte) (*answer, error) {
	req, err := http.NewRequest(method, "http://"+m.addr(portControl)+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := o.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	return &answer{resp.StatusCode, text, resp.Request.URL.Host}, nil
}

// order sends a call until it gets an answer other than 5xx, 408 and 429, for at most
// limit.
func (o *operator) order(method, path string, body []byte, limit time.Duration) (*answer, error) {
	end := time.Now().Add(limit)
	pause := 50 * time.Millisecond
	var last error
	for time.Now().Before(end) {
		m := o.pick()
		a, err := o.call(m, method, path, body)
		switch {
		case err != nil:
			last = err
		case a.status < 500 && a.status != http.StatusRequestTimeout && a.status != http.StatusTooManyRequests:
			return a, nil
		default:
			last = fmt.Errorf("%s answers %d: %s", a.from, a.status, bytes.TrimSpace(a.body))
		}
		time.Sleep(pause)
		pause = min(2*pause, 500*time.Millisecond)
	}
	return nil, fmt.Errorf("no clear answer within %v; the last: %w", limit, last)
}

// sendConfig sends a configuration until it is acknowledged.
func (o *operator) sendConfig(version int, body []byte, limit time.Duration) (*answer, error) {
	a, err := o.order(http.MethodPost, "/api/configuration/replace", body, limit)
	if err != nil {
		o.r.note("operator: configuration %d: %v", version, err)
		return nil, err
	}
	o.r.note("operator: configuration %d: %d from %s", version, a.status, a.from)
	if a.status != http.StatusOK {
		return nil, fmt.Errorf("configuration %d is answered %d: %s", version, a.status, a.body)
	}
	return a, nil
}

// versionOf returns the version of a configuration, or 0.
func versionOf(body []byte) int {
	var v struct {
		Version int `json:"version"`
	}
	if json.Unmarshal(body, &v) != nil {
		return 0
	}
	return v.Version
}
