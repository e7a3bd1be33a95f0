package server

import (
	"context"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"citronledge.example/core/chart"
)

// fakeWorkload is a workload whose drain ends when the test closes finish.
type fakeWorkload struct {
	ready    chan struct{}
	draining chan struct{}
	finish   chan struct{}
}

func (p *fakeWorkload) Run(ctx context.Context, ready func()) error {
	ready()
	close(p.ready)
	<-ctx.Done()
	return nil
}

func (p *fakeWorkload) Drain(ctx context.Context) []string {
	close(p.draining)
	select {
	case <-p.finish:
		return nil
	case <-ctx.Done():
		return []string{"request-1"}
	}
}

func terminate(t *testing.T) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
}

// Guards against a planned stop that interrupts running work, and against a
// drain that neither a second signal nor the timeout can end.
func TestShutdown(t *testing.T) {
	tests := map[string]struct {
		deadline time.Duration
		end      func(t *testing.T, p *fakeWorkload)
		state    string
		cut      bool
	}{
		"work finishes": {time.Hour, func(_ *testing.T, p *fakeWorkload) { close(p.finish) }, "stopped", false},
		"second signal": {time.Hour, func(t *testing.T, _ *fakeWorkload) { terminate(t) }, "cut", true},
		"deadline":      {20 * time.Millisecond, func(*testing.T, *fakeWorkload) {}, "cut", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := &fakeWorkload{make(chan struct{}), make(chan struct{}), make(chan struct{})}
			s := New(Settings{Name: "x", Zone: "z", AdminAddr: "127.0.0.1:0", DrainTimeout: tt.deadline}, nil)
			failed := make(chan error, 1)
			go func() { failed <- s.Run(context.Background(), p) }()
			<-p.ready
			if got := s.State(); got != "ready" {
				t.Errorf("got state %s before the signal, want ready", got)
			}
			terminate(t)
			<-p.draining
			if got := s.State(); got != "draining" && got != "cut" {
				t.Errorf("got state %s after the signal, want draining", got)
			}
			tt.end(t, p)
			err := <-failed
			if (err != nil) != tt.cut || s.State() != tt.state {
				t.Errorf("got %v in state %s, want cut %t in state %s", err, s.State(), tt.cut, tt.state)
			}
		})
	}
}

// Guards against a load balancer that keeps sending callers to a process that
// cannot serve them.
func TestReadiness(t *testing.T) {
	lease := false
	s := New(Settings{}, nil)
	s.AddReadinessCheck("lease", func() bool { return lease })
	for _, step := range []struct {
		event chart.Event
		lease bool
		want  string
	}{
		{"", true, "starting"},
		{"up", true, "ready"},
		{"", false, "without lease"},
		{"", true, "ready"},
		{"signal", true, "draining"},
	} {
		s.transition(step.event)
		lease = step.lease
		if got := s.readiness(); got != step.want {
			t.Errorf("got %q after %q with lease %t, want %q", got, step.event, step.lease, step.want)
		}
	}
}

// Guards against settings errors that are reported one at a time, and against a
// wrong precedence of flags, environment and file.
func TestSettings(t *testing.T) {
	keys := filepath.Join(t.TempDir(), "keys.yaml")
	file := filepath.Join(t.TempDir(), "settings.yaml")
	for path, text := range map[string]string{keys: "keys: [{name: a, role: process, secret: MDEyMzQ1Njc4OWFiY2RlZg==}]\n", file: "name: file\nzone: file\nkeys: " + keys + "\n"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	t.Setenv("TESTING_ZONE", "environment")
	t.Setenv("TESTING_NAME", "environment")
	tests := map[string]struct {
		args []string
		want []string // parts of the error, or name and zone
	}{
		"order": {[]string{"--config", file, "--name", "flag"}, []string{"flag", "environment"}},
		"all errors": {
			[]string{"--name", "", "--zone", "", "--admin", "nowhere", "--deadline", "0s"},
			[]string{"--name is empty", "--zone is empty", "--keys is empty", "--admin", "--deadline must be positive"},
		},
		"missing key file": {[]string{"--keys", "/nowhere/keys.yaml"}, []string{"--keys", "readable file"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var set Settings
			fs := flag.NewFlagSet("test", flag.ContinueOnError)
			fs.SetOutput(io.Discard)
			set.Register(fs)
			if err := ParseSettings(fs, tt.args, "TESTING"); err != nil {
				t.Fatal(err)
			}
			got := set.Name + " " + set.Zone
			if err := set.Validate(); err != nil {
				got = err.Error()
			}
			for _, want := range tt.want {
				if !strings.Contains(got, want) {
					t.Errorf("got %s, want %s", got, want)
				}
			}
		})
	}
}

// A signal that arrives while a program still reads its settings or opens its
// disk must neither kill the process nor be lost, and repeated signals must
// count once.
func TestSignalBeforeRun(t *testing.T) {
	catchEarlySignals()
	for i, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM} {
		if err := syscall.Kill(os.Getpid(), sig); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(10 * time.Second); len(earlySignals) <= i; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("signal %v was lost", sig)
			}
		}
	}
	s := New(Settings{AdminAddr: "127.0.0.1:0", DrainTimeout: time.Hour}, nil)
	reloads := make(chan bool, 1)
	s.OnReload(func() { reloads <- true })
	p := &fakeWorkload{make(chan struct{}), make(chan struct{}), make(chan struct{})}
	ended := make(chan error, 1)
	go func() { ended <- s.Run(t.Context(), p) }()
	<-reloads
	<-p.draining
	close(p.finish)
	if err := <-ended; err != nil {
		t.Errorf("got %v, want a planned stop that interrupts nothing", err)
	}
}
