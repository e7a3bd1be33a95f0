package soak

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"citronledge.example/stub/users"
)

// Settings and bounds of the tests with untrusted clients. They must not be
// changed to get a pass.
const (
	clientMemoryMB = 64  // memory limit in the settings file, and bound on the resident size
	clientMaxFiles = 256 // limit on descriptors of the process, and bound on those in use
	maxCallerBody  = 4 << 20
	maxConfigBody  = 8 << 20
	// attackTimeout ends an attacker whose connection neither closes nor takes
	// its bytes, and answerTimeout the wait for an ordinary answer.
	attackTimeout = 40 * time.Second
	answerTimeout = 30 * time.Second
)

// attack is what each client of a crowd sends. The connection stays open after
// it.
type attack struct {
	clients int
	head    string // without the lines that all requests of the target have
	body    func(w io.Writer) error
	raw     bool // send only the body, without a head
}

// repeat returns a body that sends a block n times.
func repeat(block string, n int) func(io.Writer) error {
	return func(w io.Writer) error {
		const perWrite = 64 << 10
		many := max(1, min(n, perWrite/len(block)))
		buf := strings.Repeat(block, many)
		for left := n; left > 0; left -= many {
			if _, err := io.WriteString(w, buf[:min(left, many)*len(block)]); err != nil {
				return err
			}
		}
		return nil
	}
}

// manyHeaders sends n short header lines of a request that never ends.
func manyHeaders(first string, n int) func(io.Writer) error {
	return func(w io.Writer) error {
		buf := bufio.NewWriter(w)
		fmt.Fprintf(buf, "%s HTTP/1.1\r\nHost: %s\r\nKey: %s\r\n", first, host, key)
		for i := range n {
			fmt.Fprintf(buf, "h%x:\r\n", i)
		}
		return buf.Flush()
	}
}

func largeChunk() string {
	const size = 64 << 10
	return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
}

const (
	chunked  = "Transfer-Encoding: chunked\r\n"
	oneByte  = "1\r\nx\r\n"
	announce = "Content-Length: %d\r\n"
)

// target is a process under attack.
type target struct {
	*member
	addr  string
	first string // first line of a request
	lines string // headers of a request
}

func (x target) head(more string) string {
	return x.first + " HTTP/1.1\r\nHost: " + host + "\r\n" + x.lines + more + "\r\n"
}

// clientSite is a site of one state process, one gate and one backend server.
type clientSite struct {
	*site
	operator *operator
}

var buildOnce = sync.OnceValues(func() (string, error) {
	bin, err := os.MkdirTemp("", "clients-bin-")
	if err != nil {
		return "", err
	}
	for _, program := range []string{"gate", "state"} {
		cmd := exec.Command("go", "build", "-o", filepath.Join(bin, "real-"+program), fmt.Sprintf("citronledge.example/%s/cmd/%s", program, program))
		if out, err := cmd.CombinedOutput(); err != nil {
			return bin, fmt.Errorf("go build %s: %w\n%s", program, err, out)
		}
		script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s \"$@\"\n", clientMaxFiles, filepath.Join(bin, "real-"+program))
		if err := os.WriteFile(filepath.Join(bin, program), []byte(script), 0o700); err != nil {
			return bin, err
		}
	}
	return bin, nil
})

func newClientSite(t *testing.T) *clientSite {
	t.Helper()
	bin, err := buildOnce()
	if err != nil {
		t.Fatal(err)
	}
	s, err := newSite(bin, t.TempDir(), newRecorder())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.close)
	x := &clientSite{site: s, operator: newOperator(newRecorder(), s.states[:1])}
	for _, m := range []*member{s.states[0], s.gates[0]} {
		m.node.SeedAddrs, m.node.MemoryMB, m.node.MaxFiles = m.node.SeedAddrs[:1], clientMemoryMB, clientMaxFiles
		if err := m.start(); err != nil {
			t.Fatal(err)
		}
	}
	await(t, "acknowledged configuration", func() error {
		body := strings.Replace(document(1), `"max-body-bytes":65536`, fmt.Sprintf(`"header-timeout-ms":3000,"max-header-bytes":16384,"max-body-bytes":%d`, maxCallerBody), 1)
		if status, answer := x.operator.call(s.states[0], http.MethodPost, users.ReplacePath, body); status != http.StatusOK {
			return fmt.Errorf("status %d: %s", status, answer)
		}
		return nil
	})
	await(t, "answer of the gate", func() error { return x.callGate("ready", 1) })
	return x
}

// await waits until f succeeds.
func await(t *testing.T, what string, f func() error) {
	t.Helper()
	var err error
	if !eventually(answerTimeout, func() bool { err = f(); return err == nil }) {
		t.Fatalf("no %s in %v: %v", what, answerTimeout, err)
	}
}

func (s *clientSite) gate() target {
	m := s.gates[0]
	return target{m, hostPort(m.ip, callerPort), "POST /safe/x", "Key: " + key + "\r\nAttempt-Id: crowd\r\nDeadline-Ms: 3000\r\n"}
}

func (s *clientSite) operators() target {
	m := s.states[0]
	return target{m, hostPort(m.ip, operatorPort), "POST " + users.ReplacePath, ""}
}

// callGate sends an ordinary request with a body of n bytes on a new connection.
func (s *clientSite) callGate(id string, n int) error {
	c, err := net.DialTimeout("tcp", s.gate().addr, time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(callerTimeout))
	q := users.Request{Path: "/safe/x", Host: host, ID: id, Key: key, Body: strings.Repeat("x", n), Deadline: callerDeadline}
	if _, err := q.WriteTo(c); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if want := expectedBody("/safe/x", id, []byte(q.Body)); err != nil || resp.StatusCode != http.StatusOK || string(body) != want {
		return fmt.Errorf("got %d %q %v, want 200 %q", resp.StatusCode, body, err, want)
	}
	return nil
}

// callOperators reads the configuration.
func (s *clientSite) callOperators() error {
	if status, text := s.operator.call(s.states[0], http.MethodGet, users.ReadPath, ""); status != http.StatusOK {
		return fmt.Errorf("got %d %q, want 200", status, text)
	}
	return nil
}

// crowd is the connections of untrusted clients.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

func (c *crowd) close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// run sends an attack on all connections and waits until each client has sent
// everything or its connection has failed. The connections stay open.
func (c *crowd) run(x target, a attack) {
	var wait sync.WaitGroup
	for range a.clients {
		wait.Go(func() {
			conn, err := net.DialTimeout("tcp", x.addr, 5*time.Second)
			if err != nil {
				return // the process refuses the connection, which it may do
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = conn.SetDeadline(time.Now().Add(attackTimeout))
			if !a.raw {
				if _, err := io.WriteString(conn, x.head(a.head)); err != nil {
					return
				}
			}
			if a.body != nil {
				_ = a.body(conn) // the process may close the connection
			}
		})
	}
	wait.Wait()
}

// hasRead reports whether a process has read everything that its kernel holds
// for it, which is up to some MB for each connection.
func (x target) hasRead() error {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return err
	}
	ip, port, err := net.SplitHostPort(x.addr)
	if err != nil {
		return err
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return err
	}
	b := net.ParseIP(ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", b[3], b[2], b[1], b[0], n)
	const established, closeWait = "01", "08"
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		if f[1] == local && (f[3] == established || f[3] == closeWait) && !strings.HasSuffix(f[4], ":00000000") {
			return fmt.Errorf("unread: %s", f[4])
		}
	}
	return nil
}

// usage returns the largest resident size of a process so far in kB, and the
// number of its open descriptors.
func (x target) usage() (maxResident, files int, err error) {
	pid := x.cmd.Process.Pid
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, err
	}
	_, rest, found := bytes.Cut(status, []byte("VmHWM:"))
	if !found {
		return 0, 0, errors.New("the process has ended")
	}
	if maxResident, err = strconv.Atoi(string(bytes.Fields(rest)[0])); err != nil {
		return 0, 0, err
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return maxResident, len(open), err
}

// attackCases plays each attack on a new process. The process must not end or
// exceed its memory and descriptors, and must answer an ordinary request while
// the connections of the crowd are still open.
func attackCases(t *testing.T, cases map[string]attack, pick func(*clientSite) target, ordinary func(*clientSite) error) {
	t.Helper()
	for name, a := range cases {
		t.Run(name, func(t *testing.T) {
			s := newClientSite(t)
			x := pick(s)
			before, _, err := x.usage()
			if err != nil {
				t.Fatal(err)
			}
			c := &crowd{}
			defer c.close()
			c.run(x, a)
			// A process may also leave bytes unread, until it closes the connection.
			eventually(attackTimeout, func() bool { return x.hasRead() == nil })
			await(t, "ordinary answer", func() error { return ordinary(s) })
			size, files, err := x.usage()
			if err != nil || x.crashed() {
				t.Fatalf("%s has ended: %v", x.name, err)
			}
			t.Logf("largest resident size %.1f MB before, %.1f MB after; %d descriptors", float64(before)/1024, float64(size)/1024, files)
			if size > clientMemoryMB<<10 {
				t.Errorf("largest resident size: got %d kB, want at most %d", size, clientMemoryMB<<10)
			}
			if files >= clientMaxFiles {
				t.Errorf("open descriptors: got %d, want under %d", files, clientMaxFiles)
			}
		})
	}
}

// bodyAttacks returns bodies against an interface that allows limit bytes.
func bodyAttacks(limit, clients int) map[string]attack {
	const largeChunkBytes = 64 << 10
	almost := limit/largeChunkBytes - 1
	return map[string]attack{
		"large chunks without end":    {clients, chunked, repeat(largeChunk(), almost), false},
		"one-byte chunks without end": {clients, chunked, repeat(oneByte, 1500<<10), false},
		"announced and not sent":      {clients, fmt.Sprintf(announce, limit), nil, false},
		"announced and almost sent":   {clients, fmt.Sprintf(announce, limit), repeat("x", limit-1), false},
		"announced over the limit":    {clients, fmt.Sprintf(announce, 16*limit), repeat("x", 2*limit), false},
		"sent over the limit":         {clients, chunked, repeat(largeChunk(), 4*almost), false},
	}
}

// headAttacks returns request heads that never end or are over any limit.
func headAttacks(x string, clients int) map[string]attack {
	return map[string]attack{
		"short lines without end":      {clients, "", manyHeaders(x, 7_000), true},
		"many short lines over limits": {clients, "", manyHeaders(x, 200_000), true},
		"one long line over limits":    {clients, "", repeat("GET /"+strings.Repeat("x", 1000), 3000), true},
		"empty lines without end":      {clients, "", repeat("\r\n", 1<<20), true},
		"empty lines after a request":  {clients, "Content-Length: 0\r\n", repeat("\r\n", 1<<20), false},
	}
}

// A gate must not run out of memory when callers hold large bodies or never end
// them.
func TestCallerBodies(t *testing.T) {
	attackCases(t, bodyAttacks(maxCallerBody, 40), (*clientSite).gate, func(s *clientSite) error { return s.callGate("after", 1000) })
}

// A gate must not run out of memory by request heads over the limit or without
// end.
func TestCallerHeads(t *testing.T) {
	attackCases(t, headAttacks("POST /safe/x", 60), (*clientSite).gate, func(s *clientSite) error { return s.callGate("after", 1000) })
}

// Callers that open connections and send nothing must not use up the
// descriptors.
func TestCallerConnections(t *testing.T) {
	attackCases(t, map[string]attack{
		"silent":       {clients: 400, raw: true},
		"part of head": {clients: 400, raw: true, body: repeat("POST /safe/x HTTP/1.1\r\nHost: h\r\n", 1)},
		"no body":      {clients: 400, head: fmt.Sprintf(announce, 100)},
	}, (*clientSite).gate, func(s *clientSite) error { return s.callGate("after", 1000) })
}

// A state process must not run out of memory by bodies at the operators'
// interface.
func TestOperatorBodies(t *testing.T) {
	attackCases(t, bodyAttacks(maxConfigBody, 20), (*clientSite).operators, (*clientSite).callOperators)
}

// A state process must not run out of memory by request heads at the operators'
// interface.
func TestOperatorHeads(t *testing.T) {
	attackCases(t, headAttacks("POST "+users.ReplacePath, 60), (*clientSite).operators, (*clientSite).callOperators)
}

// Connections to the operators' interface must not use up the descriptors of a
// state process.
func TestOperatorConnections(t *testing.T) {
	attackCases(t, map[string]attack{
		"silent":       {clients: 400, raw: true},
		"part of head": {clients: 400, raw: true, body: repeat("POST /x HTTP/1.1\r\nHost: h\r\n", 1)},
		"no body":      {clients: 400, head: fmt.Sprintf(announce, 100)},
	}, (*clientSite).operators, (*clientSite).callOperators)
}

// Connections to the readiness interface must not use up the descriptors of a
// gate.
func TestReadinessConnections(t *testing.T) {
	attackCases(t, map[string]attack{
		"silent":            {clients: 400, raw: true},
		"part of head":      {clients: 400, raw: true, body: repeat("GET "+users.ReadyPath+" HTTP/1.1\r\nHost: h\r\n", 1)},
		"body without end":  {clients: 60, head: chunked, body: repeat(largeChunk(), 100)},
		"heads over limits": {clients: 60, raw: true, body: manyHeaders("GET "+users.ReadyPath, 200_000)},
	}, func(s *clientSite) target {
		m := s.gates[0]
		return target{m, hostPort(m.ip, readyPort), "GET " + users.ReadyPath, ""}
	}, func(s *clientSite) error { return s.callGate("after", 1000) })
}

// A limit on the bytes held for all clients must not refuse a single request
// that is within the limits.
func TestLargestBodies(t *testing.T) {
	s := newClientSite(t)
	await(t, "answer to the largest body", func() error { return s.callGate("largest", maxCallerBody) })
	// It is read in full, since only its content is refused.
	await(t, "refusal of a configuration without content", func() error {
		if status, text := s.operator.call(s.states[0], http.MethodPost, users.ReplacePath, strings.Repeat(" ", maxConfigBody)); status != http.StatusBadRequest {
			return fmt.Errorf("got %d %q, want 400", status, text)
		}
		return nil
	})
}
