package soak

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"citronledge.example/core/reply"
	"citronledge.example/stub/users"
)

const (
	// restartLoadTime is how long after a restart of all processes requests are
	// sent to each gate, one every restartLoadInterval. A gate that has served none
	// by then gets more, for recoverTimeout at most.
	restartLoadTime     = 2500 * time.Millisecond
	restartLoadInterval = 10 * time.Millisecond
	// restartDeadline is the deadline of these requests.
	restartDeadline = 2 * time.Second
	// downTime is how long all processes are down.
	downTime = 300 * time.Millisecond
	// settleTime is how long the system runs between two restarts.
	settleTime = 1500 * time.Millisecond
)

// RestartTimes holds times since the simultaneous start of all processes, and
// counts of requests, by name, over all restarts.
type RestartTimes struct {
	mu     sync.Mutex
	times  map[string][]time.Duration
	counts map[string]int
}

func (r *RestartTimes) add(name string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times[name] = append(r.times[name], d)
}

func (r *RestartTimes) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name]++
}

// Median returns the median of the times of a step, and how many there are.
func (r *RestartTimes) Median(name string) (median time.Duration, n int) {
	list := slices.Sorted(slices.Values(r.times[name]))
	if len(list) == 0 {
		return 0, 0
	}
	return list[len(list)/2], len(list)
}

// longest returns the longest time of a step.
func (r *RestartTimes) longest(name string) time.Duration {
	return slices.Max(append(slices.Clone(r.times[name]), 0))
}

// String returns one line for each step and one with the counts.
func (r *RestartTimes) String() string {
	var b strings.Builder
	var names []string
	for name := range r.times {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		a, _ := r.Median(names[i])
		b, _ := r.Median(names[j])
		return a < b
	})
	for _, name := range names {
		list := slices.Sorted(slices.Values(r.times[name]))
		fmt.Fprintf(&b, "%-28s median %6d ms, from %6d to %6d ms (%d)\n", name, list[len(list)/2].Milliseconds(), list[0].Milliseconds(), list[len(list)-1].Milliseconds(), len(list))
	}
	names = nil
	for name, n := range r.counts {
		names = append(names, fmt.Sprintf("%s %d", name, n))
	}
	slices.Sort(names)
	fmt.Fprintf(&b, "requests: %s\n", strings.Join(names, ", "))
	return b.String()
}

// MeasureRestarts kills all processes of a site at once and starts them again at
// the same moment, runs times, and returns how long each step until the first
// served request took. Requests are sent to each gate meanwhile.
func MeasureRestarts(ctx context.Context, cfg Config, runs int) (*RestartTimes, error) {
	s := &soak{Config: cfg, recorder: newRecorder()}
	var err error
	if s.site, err = newSite(cfg.BinDir, cfg.Dir, s.recorder); err != nil {
		return nil, eris.Wrap(err, "cannot set up the site")
	}
	defer s.site.close()
	s.operator = newOperator(s.recorder, s.site.states)
	for _, m := range s.site.states {
		m.args = append(m.args, "--v", "1") // names the elections
	}
	if err := s.site.start(); err != nil {
		return nil, err
	}
	if _, ok := s.operator.replaceUntilAcked(startTimeout); !ok {
		return nil, eris.New("the first configuration was not acknowledged; see the logs of the state processes in " + cfg.Dir)
	}
	times := &RestartTimes{times: map[string][]time.Duration{}, counts: map[string]int{}}
	for i := range runs {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if missing := s.awaitRecovery(recoverTimeout); missing != "" {
			return nil, eris.New("the site did not become ready: " + missing)
		}
		sleep(ctx, settleTime)
		if err := s.restartAll(ctx, i, times); err != nil {
			return nil, err
		}
	}
	if findings := s.recorder.report().Findings; len(findings) > 0 {
		return times, eris.New("findings: " + strings.Join(findings, "; "))
	}
	return times, nil
}

// restartAll restarts all processes once.
func (s *soak) restartAll(ctx context.Context, run int, times *RestartTimes) error {
	var wait sync.WaitGroup
	sizes := map[*member]int64{}
	for _, m := range s.site.members() {
		wait.Go(m.kill)
	}
	wait.Wait()
	for _, m := range s.site.members() {
		if info, err := os.Stat(m.logFile()); err == nil {
			sizes[m] = info.Size()
		}
	}
	sleep(ctx, downTime)
	start := time.Now()
	for _, m := range s.site.members() {
		wait.Go(func() {
			if err := m.start(); err != nil {
				s.recorder.addFinding("%s does not start: %v", m.name, err)
			}
		})
	}
	for _, g := range s.site.gates {
		wait.Go(func() { s.sendDuringRestart(g, run, start, times) })
	}
	wait.Wait()
	for _, m := range s.site.members() {
		if err := readSteps(m.logFile(), sizes[m], start, times); err != nil {
			return err
		}
	}
	return nil
}

// sendDuringRestart sends requests to a gate, each once and on a connection of its
// own, and records the first that is served.
func (s *soak) sendDuringRestart(g *member, run int, start time.Time, times *RestartTimes) {
	var wait sync.WaitGroup
	var first sync.Once
	var served atomic.Bool
	tick := time.NewTicker(restartLoadInterval)
	defer tick.Stop()
	for i := 0; time.Since(start) < restartLoadTime || !served.Load() && time.Since(start) < recoverTimeout; i++ {
		id := fmt.Sprintf("r%d-%s-%d", run, g.name, i)
		wait.Go(func() {
			sent := time.Now()
			switch status := sendOnce(g, id); {
			case status == 0 && time.Since(sent) < restartDeadline/2:
				times.count("not connected")
			case status == http.StatusOK:
				times.count("served")
				served.Store(true)
				times.add("wait of served", time.Since(sent))
				first.Do(func() { times.add("first served request", time.Since(start)) })
			case status == http.StatusServiceUnavailable:
				times.count("refused")
				s.recorder.recordRefusal(id, "/once/x", "503")
			default:
				times.count(fmt.Sprint("status ", status))
			}
		})
		<-tick.C
	}
	wait.Wait()
}

// sendOnce sends one request and returns the status of the answer; 0 without one.
func sendOnce(g *member, id string) int {
	raw, err := net.DialTimeout("tcp", hostPort(g.ip, callerPort), time.Second)
	if err != nil {
		return 0
	}
	conn := reply.NewConn(raw)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(callerTimeout))
	q := users.Request{Path: "/once/x", Host: host, ID: id, Key: key, Body: "question", Deadline: restartDeadline}
	conn.BeginRequest()
	_, err = q.WriteTo(conn)
	conn.EndRequest()
	if err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

var (
	logStamp  = regexp.MustCompile(`^[IWE](\d{4} \d\d:\d\d:\d\d\.\d{6})`)
	stepLines = map[string]string{
		"State process started":           "state process up",
		"Became leader of the state clus": "leader elected",
		"Gate started":                    "gate up",
		"\"Enrolled\"":                    "gate enrolled",
		"Configuration in force":          "first configuration",
		"Gate can serve":                  "gate can serve",
	}
	startField = regexp.MustCompile(`(configuration|list|lease|sinceStart)="?([0-9.a-zµ]+)`)
)

// readSteps reads the steps of a start from the part of a log after an offset.
// Each step counts once.
func readSteps(file string, offset int64, start time.Time, times *RestartTimes) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	seen := map[string]bool{}
	for line := range strings.Lines(string(text[offset:])) {
		stamp := logStamp.FindStringSubmatch(line)
		if stamp == nil {
			continue
		}
		at, err := time.ParseInLocation("20060102 15:04:05.000000", fmt.Sprint(start.Year())+stamp[1], time.Local)
		if err != nil {
			return err
		}
		for mark, step := range stepLines {
			if seen[step] || !strings.Contains(line, mark) {
				continue
			}
			seen[step] = true
			times.add(step, at.Sub(start))
			if step == "gate can serve" {
				addStartFields(line, at.Sub(start), times)
			}
		}
	}
	return nil
}

// addStartFields adds the steps that the line about the end of a start names, as
// times since the start of the gate.
func addStartFields(line string, at time.Duration, times *RestartTimes) {
	fields := map[string]time.Duration{}
	for _, f := range startField.FindAllStringSubmatch(line, -1) {
		if d, err := time.ParseDuration(f[2]); err == nil {
			fields[f[1]] = d
		}
	}
	for name, step := range map[string]string{"list": "first list", "lease": "first lease"} {
		if d := fields[name]; d > 0 {
			times.add(step, at-fields["sinceStart"]+d)
		}
	}
}
