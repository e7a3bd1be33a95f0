package launch

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"citronledge.example/core/wire"
)

const testTimeout = 100 * time.Second // of one test; on an idle machine each takes a few seconds

var bin string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs once for all tests, runs the tests and returns
// their exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "citronledge-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	cmd := exec.Command("go", "build", "-o", dir+"/",
		"citronledge.example/gate/cmd/gate", "citronledge.example/side/cmd/side",
		"citronledge.example/ctl/cmd/ctl", "citronledge.example/state/cmd/state", "citronledge.example/stub/cmd/stub")
	cmd.Dir = "../.." // the folder of the workspace, which lists all modules
	if out, err := cmd.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "cannot build the programs: %v\n%s", err, out)
		return 1
	}
	bin = dir
	return m.Run()
}

// startSystem starts a system whose engines need the given time for each token.
func startSystem(t *testing.T, token time.Duration) (context.Context, *System) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	s, err := New(WithBinDir(bin), WithDataDir(t.TempDir()), WithSettings("../../examples/jhalmuri"),
		WithModels("swift/v1,swift/v2,sage/v1"), WithServices("payments"), WithTokenTime(token))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.Kill()
		if t.Failed() {
			for _, p := range s.all {
				t.Logf("log of %s:\n%s", p.Name, p.LogTail())
			}
		}
	})
	if err := s.Start(ctx); err != nil {
		t.Fatal(err)
	}
	return ctx, s
}

const customer = "bengal-crop-insurance"

func caller(s *System, gate int) Caller { return Caller{Gate: s.Gates[gate], Key: "demo-" + customer} }

// streamProblem returns why a streamed answer is not complete, or "" if it is. The
// engine numbers its words from the third on.
func streamProblem(r Reply, tokens int) string {
	words := strings.Fields(r.Text)
	if r.Status != http.StatusOK || !r.StreamEnded || r.Events != tokens || len(words) != tokens {
		return fmt.Sprintf("status %d, ended %v, %d events, %d words; want %d: %q", r.Status, r.StreamEnded, r.Events, len(words), tokens, r.Text)
	}
	for i, word := range words[2:] {
		if word != fmt.Sprintf("w%d", i+2) {
			return fmt.Sprintf("word %d is %q", i+2, word)
		}
	}
	return ""
}

// sideWithChat returns the side process whose engine runs a chat.
func sideWithChat(ctx context.Context, t *testing.T, s *System) *Proc {
	t.Helper()
	for i, e := range s.Engines {
		n, err := RunningChats(ctx, e)
		if err != nil {
			t.Fatal(err)
		}
		if n > 0 {
			return s.Sides[i]
		}
	}
	t.Fatal("no engine runs the chat")
	return nil
}

// The loss of a backend server in mid-stream must not be visible to the caller: no
// token may be missing or repeated, and the stream must end properly.
func TestKillSideInStream(t *testing.T) {
	ctx, s := startSystem(t, 20*time.Millisecond)
	killed := false
	r, err := caller(s, 0).ChatWithProgress(ctx, ChatBody("swift", "claim 7", 100, true), func(events int) {
		if events == 20 && !killed {
			killed = true
			if err := sideWithChat(ctx, t, s).Kill(); err != nil {
				t.Error(err)
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if problem := streamProblem(r, 100); problem != "" || !killed {
		t.Errorf("killed %v: %s", killed, problem)
	}
	if err := s.Stop(ctx); err != nil && !strings.Contains(err.Error(), "killed") {
		t.Error(err)
	}
}

// When a gate is killed in mid-stream, the work done must still be billed, and the
// caller must not get an end marker on the interrupted stream.
func TestKillGateInStream(t *testing.T) {
	ctx, s := startSystem(t, 20*time.Millisecond)
	r, err := caller(s, 0).ChatWithProgress(ctx, ChatBody("swift", "claim 7", 400, true), func(events int) {
		if events == 20 {
			if err := s.Gates[0].Kill(); err != nil {
				t.Error(err)
			}
		}
	})
	if err == nil || r.StreamEnded {
		t.Errorf("got error %v, ended %v; want an interrupted stream", err, r.StreamEnded)
	}
	var bills []*wire.Bill
	err = poll(ctx, func() (bool, error) {
		var err error
		bills, err = s.Bills(ctx, customer)
		return len(bills) > 0, err
	}, func() string { return "the killed gate's request has no bill" })
	if err != nil {
		t.Fatal(err)
	}
	if len(bills) != 1 || len(bills[0].GetUsages()) != 1 || bills[0].GetUsages()[0].GetOutput() < 20 {
		t.Errorf("got bills %v, want one with at least 20 tokens", bills)
	}
	if other, err := caller(s, 1).Chat(ctx, ChatBody("swift", "claim 8", 4, true)); err != nil || streamProblem(other, 4) != "" {
		t.Errorf("got %+v, %v from the other gate", other, err)
	}
}

// sendChats sends chats through both gates until stop is closed, and returns the
// number of complete answers. After a refusal that says "not run" it goes on with
// the next chat.
func sendChats(ctx context.Context, t *testing.T, s *System, clients int, stop <-chan struct{}) int {
	var wg sync.WaitGroup
	var done atomic.Int64
	for i := range clients {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				select {
				case <-stop:
					return
				default:
				}
				r, err := caller(s, i%2).Chat(ctx, ChatBody("swift", fmt.Sprintf("claim %d of %d", n, i), 5, true))
				switch {
				case err == nil && r.Status == http.StatusOK && streamProblem(r, 5) == "":
					done.Add(1)
				case err == nil && r.Status != http.StatusOK && strings.Contains(string(r.Body), `"ran":"no"`):
				default:
					t.Errorf("got %+v, error %v", r, err)
					return
				}
			}
		})
	}
	wg.Wait()
	return int(done.Load())
}

// When the leader is killed under load, no answer and no bill may be lost.
func TestKillLeaderUnderLoad(t *testing.T) {
	ctx, s := startSystem(t, 5*time.Millisecond)
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		leader, err := s.Leader(ctx)
		if err == nil {
			err = leader.Kill()
		}
		if err == nil {
			_, err = s.Leader(ctx) // answered by the new leader
		}
		if err == nil {
			_, err = caller(s, 0).CallService(ctx, "/v1/payouts", "after", map[string]any{"household": "H-1", "day": "d"})
		}
		if err != nil {
			t.Error(err)
		}
	}()
	done := sendChats(ctx, t, s, 8, stop)
	if done == 0 {
		t.Error("got no answer at all")
	}
	bills := 0
	err := poll(ctx, func() (bool, error) {
		list, err := s.Bills(ctx, customer)
		bills = 0
		seen := map[string]bool{}
		for _, b := range list {
			if seen[b.GetRequest()] {
				return false, fmt.Errorf("request %s has two bills", b.GetRequest())
			}
			seen[b.GetRequest()] = true
			if len(b.GetUsages()) > 0 && b.GetUsages()[0].GetModel() != "" {
				bills++
			}
		}
		return bills >= done, err
	}, func() string { return fmt.Sprintf("got %d bills, want %d", bills, done) })
	if err != nil {
		t.Error(err)
	}
}

// A planned stop must not interrupt a stream.
func TestSigtermUnderStreams(t *testing.T) {
	ctx, s := startSystem(t, 20*time.Millisecond)
	const streams, tokens = 12, 100
	var wg sync.WaitGroup
	var started atomic.Int64
	allStarted := make(chan struct{})
	for i := range streams {
		wg.Go(func() {
			r, err := caller(s, i%2).ChatWithProgress(ctx, ChatBody("swift", fmt.Sprintf("claim %d", i), tokens, true), func(events int) {
				if events == 10 && started.Add(1) == streams {
					close(allStarted)
				}
			})
			if problem := streamProblem(r, tokens); err != nil || problem != "" {
				t.Errorf("stream %d: %v %s", i, err, problem)
			}
		})
	}
	select {
	case <-allStarted:
	case <-ctx.Done():
		t.Fatal("the streams have not started")
	}
	for _, p := range []*Proc{s.Sides[0], s.Gates[0]} {
		if err := p.Signal(syscall.SIGTERM); err != nil {
			t.Error(err)
		}
	}
	wg.Wait()
	for _, p := range []*Proc{s.Sides[0], s.Gates[0]} {
		if err := p.Wait(ctx); err != nil {
			t.Error(err)
		}
	}
	if err := s.Stop(ctx); err != nil {
		t.Error(err)
	}
	if logs, _ := filepath.Glob(filepath.Join(s.dir, "*.log")); len(logs) == 0 {
		t.Error("no logs were written")
	}
}
