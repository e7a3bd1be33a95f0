package launch

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"citronledge.example/stub/runner"
)

// platformSite is a gate and a state process, started as the hosting platform starts
// them, with stubs of the platform's instance list and of one backend server.
type platformSite struct {
	t       testing.TB
	dir, ip string
	port    int // for callers; the next ports are for readiness, operators and internal connections
	runner  *runner.Backend
	procs   map[string]*exec.Cmd
}

const siteConfig = `{"version":3,"routes":[
 {"name":"once","host":"h.example","path-prefix":"/once/","type":"unsafe","timeout-ms":2000,"service":"pool","max-attempts":1},
 {"name":"stream","host":"h.example","path-prefix":"/stream/","type":"streaming","timeout-ms":9000,"target-latency-ms":1000,"service":"pool","max-attempts":1}],
 "services":[{"name":"pool","health-path":"/healthz","max-connections":100}],
 "limits":{"max-body-bytes":65536,"idle-timeout-ms":15000},"tenants":[{"name":"acme","api-keys":["site-key"]}]}`

func newPlatformSite(t testing.TB) *platformSite {
	s := &platformSite{t: t, dir: t.TempDir(), procs: map[string]*exec.Cmd{}}
	for ok := false; !ok; ok = s.portsFree() {
		s.ip, s.port = fmt.Sprintf("127.0.%d.%d", 100+rand.IntN(100), 1+rand.IntN(250)), 20000+rand.IntN(10000)
	}
	var err error
	if s.runner, err = runner.Start(runner.OK("fine")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.runner.Close)
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"instances":[{"id":"i-1","service":"pool","address":%q,"zone":"a","version":"v1","slots":4,"state":"ready","cold-remaining-ms":0}],"next":null}`, s.runner.Addr())
	}))
	t.Cleanup(list.Close)
	node, err := json.Marshal(map[string]any{
		"node-name": "edge-1", "ip": s.ip, "zone": "a", "bootstrap": true, "data-dir": filepath.Join(s.dir, "data"),
		"listen":              map[string]string{"frontend": s.addr(0), "readiness": s.addr(1), "control-plane": s.addr(2)},
		"internal-port-range": []int{s.port + 3, s.port + 9}, "seed-nodes": []string{s.addr(2)},
		"limits": map[string]int{"memory-mb": 134}, "fault-tolerance": map[string]int{"machines": 1},
		"bounds":    map[string]any{"grace-period-s": 8, "retry-budget-ratio": 0.9, "retry-window-s": 10, "budget-slack": 64, "canary-share": 0.15, "session-s": 5},
		"cloud-api": map[string]any{"address": strings.TrimPrefix(list.URL, "http://"), "rate-per-s": 10},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.writeFile("node.json", string(node))
	s.writeFile("keys.yaml", "keys:\n- {name: k, role: process, secret: MDEyMzQ1Njc4OWFiY2RlZg==}\n")
	t.Cleanup(func() {
		for _, p := range s.procs {
			_ = p.Process.Kill()
			_ = p.Wait()
		}
		if t.Failed() {
			t.Logf("log of the gate:\n%s", strings.Join(s.readLog("gate"), "\n"))
			t.Logf("log of the state process:\n%s", strings.Join(s.readLog("state"), "\n"))
		}
	})
	s.startProgram("state")
	s.startProgram("gate")
	s.waitUntil("the configuration is acknowledged", func() bool {
		resp, err := http.Post("http://"+s.addr(2)+"/api/configuration/replace", "application/json", strings.NewReader(siteConfig))
		return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
	})
	s.waitUntil("the gate is ready", s.ready)
	return s
}

const portCount = 10 // consecutive ports of a site

// portsFree reports whether all ports are free. Tests of other packages, and other
// runs of this one, use the same range of addresses.
func (s *platformSite) portsFree() bool {
	for n := range portCount {
		ln, err := net.Listen("tcp", s.addr(n))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

func (s *platformSite) addr(n int) string { return fmt.Sprintf("%s:%d", s.ip, s.port+n) }

func (s *platformSite) writeFile(name, text string) {
	if err := os.WriteFile(filepath.Join(s.dir, name), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

func (s *platformSite) startProgram(program string) {
	s.t.Helper()
	log, err := os.Create(filepath.Join(s.dir, program+".log"))
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(bin, program), "--platform", "--keys", filepath.Join(s.dir, "keys.yaml"), "--admin", "127.0.0.1:0")
	cmd.Env = append(os.Environ(), "CITRONLEDGE_NODE_FILE="+filepath.Join(s.dir, "node.json"))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.procs[program] = cmd
}

func (s *platformSite) waitUntil(what string, f func() bool) {
	s.t.Helper()
	for end := time.Now().Add(30 * time.Second); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("not in 30 s: %s", what)
		}
	}
}

func (s *platformSite) ready() bool {
	resp, err := http.Get("http://" + s.addr(1) + "/api/readyz")
	return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

func (s *platformSite) readLog(program string) []string {
	text, err := os.ReadFile(filepath.Join(s.dir, program+".log"))
	if err != nil {
		return []string{err.Error()}
	}
	return strings.Split(string(text), "\n")
}

// send sends a request on a connection of its own and reads the header of the answer.
func (s *platformSite) send(path, id, extraHeader string) (*http.Response, net.Conn) {
	s.t.Helper()
	c, err := net.Dial("tcp", s.addr(0))
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nKey: site-key\r\nDeadline-Ms: 5000\r\nContent-Length: 0\r\n%s\r\n", path, id, extraHeader)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	return resp, c
}

// requestLog waits until the log of the gate has the end of a request, and returns
// the lines with its id.
func (s *platformSite) requestLog(id string) string {
	s.t.Helper()
	var found []string
	s.waitUntil("the end of "+id+" is in the log", func() bool {
		found = nil
		for _, line := range s.readLog("gate") {
			if strings.Contains(line, `id="`+id+`"`) {
				found = append(found, line)
			}
		}
		return strings.Contains(strings.Join(found, ""), `"Request"`)
	})
	return strings.Join(found, "\n")
}

// On-call engineers have only the log: for each kind of failed request, its lines
// must name the cause.
func TestCauseFromLog(t *testing.T) {
	s := newPlatformSite(t)
	for name, x := range map[string]struct {
		path     string
		reply    runner.Reply
		status   int
		complete bool
		want     []string
	}{
		"refusal": {"/once/x", runner.ReplyNotExecuted, 503, true, []string{`outcome="declined"`, `end="refused"`, `runs=0`, `backend="i-1"`}},
		"unknown": {
			"/once/x", runner.ReplyRawAndClose(func(*runner.Request) string { return "" }), 502, true,
			[]string{`outcome="broke"`, `sent without an answer`, `end="failed"`, `runs=1`, `backend="i-1"`},
		},
		"midway": {"/stream/x", runner.ReplyRawAndClose(func(r *runner.Request) string {
			return runner.ResponseHead(200, r, "Transfer-Encoding: chunked\r\n\r\n") + runner.Chunk(runner.Event(1)+runner.Event(2))
		}), 200, false, []string{`outcome="broke"`, `broke off`, `end="broken off"`, `event="2"`, `backend="i-1"`}},
	} {
		s.runner.SetReply(x.reply)
		resp, _ := s.send(x.path, name, "")
		_, err := io.ReadAll(resp.Body)
		if resp.StatusCode != x.status || (err == nil) != x.complete {
			t.Errorf("%s: got %d (%v), want %d", name, resp.StatusCode, err, x.status)
		}
		lines := s.requestLog(name)
		for _, want := range x.want {
			if !strings.Contains(lines, want) {
				t.Errorf("%s: the log does not contain %q:\n%s", name, want, lines)
			}
		}
		if strings.Contains(lines, "site-key") {
			t.Errorf("%s: the log contains a key", name)
		}
		s.waitUntil("the server is in use again", func() bool {
			s.runner.SetReply(runner.OK("fine"))
			resp, _ := s.send("/once/x", "probe", "")
			return resp.StatusCode == 200
		})
	}
}

// A planned stop must turn readiness off at once, keep serving until the load
// balancer has noticed, let an open stream finish, and exit in time. A SIGHUP before
// it must have no effect.
func TestPlannedStop(t *testing.T) {
	s := newPlatformSite(t)
	gate := s.procs["gate"]
	s.runner.SetReply(runner.Events(1, 40, 50*time.Millisecond, ""))
	if err := gate.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	long, _ := s.send("/stream/x", "long", "")
	start := time.Now()
	if err := gate.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	s.waitUntil("readiness is off", func() bool { return !s.ready() })
	s.runner.SetReply(runner.OK("fine"))
	if resp, _ := s.send("/once/x", "during", ""); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("got %d, close %v, from a gate that stops, want 200 with Connection: close", resp.StatusCode, resp.Close)
	}
	body, err := io.ReadAll(long.Body)
	if err != nil || strings.Count(string(body), "id:") != 40 {
		t.Errorf("got %d events (%v) of a stream during a planned stop, want 40", strings.Count(string(body), "id:"), err)
	}
	if err := gate.Wait(); err != nil {
		t.Errorf("got %v from a planned stop that interrupted nothing", err)
	}
	delete(s.procs, "gate")
	if took := time.Since(start); took > 8*time.Second {
		t.Errorf("the stop took %v, want less than the 8 s until SIGKILL", took)
	}
}

// ticksPerSecond is the unit of processor time in /proc. Linux uses 100 on all
// architectures that Go supports.
const ticksPerSecond = 100

// processorTime returns the processor time that a process has used so far.
func (s *platformSite) processorTime(program string) time.Duration {
	s.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.procs[program].Process.Pid))
	if err != nil {
		s.t.Fatal(err)
	}
	// The name of the program may contain spaces; the fields after it do not.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	if err != nil {
		s.t.Fatal(err)
	}
	system, err := strconv.Atoi(fields[12])
	if err != nil {
		s.t.Fatal(err)
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// BenchmarkGate measures the processor time of the gate for one request, and for one
// with a stream of 200 events, each in a write of its own. Use -benchtime 5000x or
// more, because the time is counted in steps of 10 ms.
func BenchmarkGate(b *testing.B) {
	const events = 200
	for name, x := range map[string]struct {
		path  string
		reply runner.Reply
	}{
		"request": {"/once/x", runner.OK("fine")},
		"stream":  {"/stream/x", runner.Events(1, events, 0, "")},
	} {
		b.Run(name, func(b *testing.B) {
			s := newPlatformSite(b)
			s.runner.SetReply(x.reply)
			client := &http.Client{}
			send := func(id int) {
				req, err := http.NewRequest(http.MethodPost, "http://"+s.addr(0)+x.path, nil)
				if err != nil {
					b.Fatal(err)
				}
				req.Host = "h.example"
				for k, v := range map[string]string{"Attempt-Id": fmt.Sprint(id), "Key": "site-key", "Deadline-Ms": "5000", "Token-Usage": "10,200"} {
					req.Header.Set(k, v)
				}
				resp, err := client.Do(req)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
					b.Fatalf("got %d (%v)", resp.StatusCode, err)
				}
				_ = resp.Body.Close()
			}
			for i := range 100 { // warm up: open connections, touch memory pages
				send(i)
			}
			before := s.processorTime("gate")
			b.ResetTimer()
			for i := range b.N {
				send(1000 + i)
			}
			b.ReportMetric(float64((s.processorTime("gate")-before).Microseconds())/float64(b.N), "gate-us/op")
		})
	}
}
