package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"citronledge.example/stub/runner"
	"citronledge.example/stub/users"
)

const (
	// crashRunnerEnv is set in the environment of runners: the address, the way to
	// end and the file of records, on a line each.
	crashRunnerEnv = "SOAK_CRASH_RUNNER"
	crashRunners   = 6
	runnerPort     = 21300
	runnerDownTime = time.Second // between a crash and the next start
	// contactTime is how long after a crash all gates have to know of it.
	contactTime = 3 * time.Second
	// runsAfterContact is how many requests may reach runners after that.
	runsAfterContact = 3
	deadlyInterval   = 150 * time.Millisecond
	soundInterval    = 60 * time.Millisecond
	deadlyBytes      = 48 << 10 // more than a runner reads together with the head
)

func TestMain(m *testing.M) {
	settings := os.Getenv(crashRunnerEnv)
	if settings == "" {
		code := m.Run()
		if bin, _ := buildOnce(); bin != "" {
			_ = os.RemoveAll(bin) // a leftover only takes space
		}
		os.Exit(code)
	}
	// A process with these settings must never run the tests, which would start
	// more of them.
	args := strings.Split(settings, "\n")
	if len(args) != 3 {
		os.Exit(2)
	}
	fmt.Fprintln(os.Stderr, serveCrashing(args[0], args[1], args[2]))
	os.Exit(1)
}

// serveCrashing is the main function of a runner that ends when it begins to run
// a deadly request, so that the kernel ends its connections.
func serveCrashing(addr, how, record string) error {
	out, err := os.OpenFile(record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer func() { _ = c.Close() }()
			for in := bufio.NewReader(c); ; {
				q, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				req := &runner.Request{Request: q}
				deadly := strings.Contains(q.Header.Get("Prefix-Hash"), "dead:") || strings.HasPrefix(q.Header.Get("Content-Type"), "deadly")
				_, _ = fmt.Fprintf(out, "%d %t %s\n", time.Now().UnixMilli(), deadly, req.AttemptID())
				if deadly {
					crash(c, req, how)
				}
				if _, err := io.Copy(io.Discard, q.Body); err != nil || !runner.Events(1, 3, 5*time.Millisecond, "")(c, req) {
					return
				}
			}
		}()
	}
}

// crash ends the process. If it has not read the whole body, the kernel resets
// the connection, and closes it otherwise.
func crash(c net.Conn, q *runner.Request, how string) {
	if !strings.Contains(how, "reset") {
		_, _ = io.Copy(io.Discard, q.Body)
	}
	if !strings.Contains(how, "at once") {
		time.Sleep(250 * time.Millisecond)
	}
	if strings.Contains(how, "head") {
		_, _ = io.WriteString(c, runner.ResponseHead(http.StatusOK, q, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
	}
	if strings.Contains(how, "event") {
		_, _ = io.WriteString(c, "20\r\nid: 1\nda")
	}
	os.Exit(1)
}

// keepRunning starts a runner again each time it has ended, until ctx ends.
func keepRunning(ctx context.Context, settings string) {
	for ctx.Err() == nil {
		cmd := exec.CommandContext(ctx, os.Args[0])
		cmd.Env = append(os.Environ(), crashRunnerEnv+"="+settings)
		_ = cmd.Run() // ends with a failure each time
		sleep(ctx, runnerDownTime)
	}
}

// runRecord is a request that has reached a runner.
type runRecord struct {
	at     time.Time
	deadly bool
	id     string
}

// readRuns returns the requests that have reached runners, in their order.
func readRuns(t *testing.T, file string) (runs []runRecord) {
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		var r runRecord
		var ms int64
		if _, err := fmt.Sscan(line, &ms, &r.deadly, &r.id); err != nil {
			t.Fatalf("record %q: %v", line, err)
		}
		r.at = time.UnixMilli(ms)
		runs = append(runs, r)
	}
	return runs
}

// crashSite is a site whose backend servers are processes that crash.
type crashSite struct {
	*site
	record string
	list   net.Listener
	client *http.Client
}

func newCrashSite(t *testing.T, bin, how string) *crashSite {
	dir, err := os.MkdirTemp("", "crash-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log("logs in", dir)
		} else if err := os.RemoveAll(dir); err != nil {
			t.Error(err)
		}
	})
	s, err := newSite(bin, dir, newRecorder())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.close)
	x := &crashSite{site: s, record: filepath.Join(dir, "runs"), client: &http.Client{Timeout: callerTimeout}}
	if x.list, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	t.Cleanup(func() { cancel(); wait.Wait() })
	var entries []users.ListedBackend
	block := uint16(rand.Uint32())
	for i := range crashRunners {
		addr := hostPort(loopbackAddr(block, 50+i), runnerPort)
		entries = append(entries, users.ListedBackend{ID: fmt.Sprint("i-", i), Service: service, Address: addr, Zone: "a"})
		wait.Go(func() { keepRunning(ctx, strings.Join([]string{addr, how, x.record}, "\n")) })
	}
	srv := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = users.WriteList(w, entries) })}
	go func() { _ = srv.Serve(x.list) }()
	t.Cleanup(func() { _ = srv.Close() })
	for _, m := range s.members() {
		m.node.BackendListAddr = x.list.Addr().String()
	}
	if err := s.start(); err != nil {
		t.Fatal(err)
	}
	o := newOperator(newRecorder(), s.states)
	if _, ok := o.replaceUntilAcked(startTimeout); !ok {
		t.Fatal("the first configuration was not acknowledged")
	}
	for i, g := range s.gates {
		if !eventually(startTimeout, func() bool { return x.send(g, fmt.Sprint("start", i), "5e1:1,1:1", "", "") == http.StatusOK }) {
			t.Fatalf("%s does not serve", g.name)
		}
	}
	return x
}

// send sends a request for a stream to a gate and returns the status, 0 if there
// was no whole answer.
func (x *crashSite) send(g *member, id, prefix, contentType, body string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+g.frontProxy.ln.Addr().String()+"/stream/x", strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = host
	for name, value := range map[string]string{
		"Attempt-Id": id, "Key": key, "Deadline-Ms": fmt.Sprint(callerDeadline.Milliseconds()), "Token-Usage": "10,3", "Prefix-Hash": prefix, "Content-Type": contentType,
	} {
		req.Header.Set(name, value)
	}
	resp, err := x.client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// Requests that crash the processes that run them, by themselves or by a part of
// their prompt, must stop reaching servers soon after the first crashes, however
// the connection ends; requests that share the other parts must go on.
func TestCrashingRequests(t *testing.T) {
	bin := buildPrograms(t)
	for name, x := range map[string]struct {
		how     string
		repeats bool // the same request again, rather than others with the same part
		crashes int  // after which contactTime runs
	}{
		"part, closed":                 {"closed", false, 5},
		"part, reset":                  {"reset", false, 5},
		"part, closed at once":         {"closed at once", false, 5},
		"part, reset at once":          {"reset at once", false, 5},
		"part, head, closed at once":   {"head at once", false, 5},
		"part, event, reset":           {"head event reset", false, 5},
		"request, closed":              {"closed", true, 3},
		"request, reset":               {"reset", true, 3},
		"request, reset at once":       {"reset at once", true, 3},
		"request, head, reset at once": {"head reset at once", true, 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCrashSite(t, bin, x.how)
			var wait sync.WaitGroup
			ctx, cancel := context.WithTimeout(t.Context(), 3*contactTime+crashRunners*runnerDownTime/2)
			defer cancel()
			body := strings.Repeat("x", deadlyBytes)
			sound := map[string]soundRequest{}
			wait.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					id, sentAt := fmt.Sprint("sound", i), time.Now()
					status := s.send(s.gates[i%len(s.gates)], id, fmt.Sprintf("ba5e:100,5e%x:20,%x:5", i%4, 1<<20+i), "", id)
					sound[id] = soundRequest{sentAt, status == http.StatusOK}
					sleep(ctx, soundInterval)
				}
			})
			for i := 0; ctx.Err() == nil; i++ {
				g := s.gates[i%len(s.gates)]
				wait.Go(func() {
					if x.repeats {
						s.send(g, fmt.Sprint("deadly", i), "ba5e:100,5e2:5,1:5", "deadly", body)
						return
					}
					s.send(g, fmt.Sprint("deadly", i), fmt.Sprintf("ba5e:100,dead:20,%x:5", i), "", body+fmt.Sprint(i))
				})
				sleep(ctx, deadlyInterval)
			}
			wait.Wait()
			checkCrashes(t, readRuns(t, s.record), x.crashes, sound)
		})
	}
}

// soundRequest is a request that crashes nothing.
type soundRequest struct {
	sentAt time.Time
	served bool
}

// checkCrashes checks how many deadly requests have reached runners after so many
// crashes and the time in which all gates have to know of them, and whether sound
// ones are then served at their first attempt.
func checkCrashes(t *testing.T, runs []runRecord, crashes int, sound map[string]soundRequest) {
	var deadly []runRecord
	attempts := map[string]int{}
	for _, r := range runs {
		attempts[r.id]++
		if r.deadly {
			deadly = append(deadly, r)
		}
	}
	last := deadly[min(len(deadly), crashes)-1].at
	begun, all := 0, 0
	for id, q := range sound {
		if q.sentAt.Sub(last) > 2*contactTime {
			all++
			if q.served && attempts[id] == 1 {
				begun++
			}
		}
	}
	if all == 0 || 2*begun < all {
		t.Errorf("%d of %d sound requests were served at their first attempt, want half or more", begun, all)
	}
	if len(deadly) < crashes {
		return // found before
	}
	late := 0
	for _, r := range deadly[crashes:] {
		if r.at.Sub(deadly[crashes-1].at) > contactTime {
			late++
		}
	}
	t.Logf("%d deadly requests have reached runners, %d late; %d of %d sound ones were served at their first attempt", len(deadly), late, begun, all)
	if late > runsAfterContact {
		t.Errorf("%d deadly requests have reached runners, %d of them later than %v after crash %d; want at most %d", len(deadly), late, contactTime, crashes, runsAfterContact)
	}
}

// buildPrograms builds the programs of the system and returns their folder.
func buildPrograms(t *testing.T) string {
	bin := t.TempDir()
	for _, program := range []string{"gate", "state"} {
		cmd := exec.Command("go", "build", "-o", filepath.Join(bin, program), fmt.Sprintf("citronledge.example/%s/cmd/%s", program, program))
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("go build %s: %v\n%s", program, err, out)
		}
	}
	return bin
}
