package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// seeds that once found something, and the cause.
var seeds = map[uint64]string{
	1:   "a SIGHUP in the last moments of a planned stop killed a state process",
	111: "a check of the soak itself counted the time in which the list of backend servers failed",
	121: "the same",
	203: "a SIGTERM right after the start killed a state process instead of stopping it",
	227: "the same",
}

// Short runs of the real programs under faults. They guard what the package
// comment names; the seeds fix the events, not their exact moments.
func TestSeeds(t *testing.T) {
	bin := t.TempDir()
	for _, program := range []string{"gate", "state"} {
		cmd := exec.Command("go", "build", "-o", filepath.Join(bin, program), fmt.Sprintf("citronledge.example/%s/cmd/%s", program, program))
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("go build %s: %v\n%s", program, err, out)
		}
	}
	for seed, cause := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
			if err != nil {
				t.Fatal(err)
			}
			r, err := Run(t.Context(), Config{BinDir: bin, Dir: dir, Seed: seed, PlannedPhase: 4 * time.Second, FaultyPhase: 6 * time.Second})
			if err != nil {
				t.Fatal(err)
			}
			if len(r.Findings) > 0 {
				t.Fatalf("%d findings, logs in %s (once: %s):\n%s", len(r.Findings), r.Dir, cause, strings.Join(r.Findings, "\n"))
			}
			if r.Counts["served"] == 0 {
				t.Errorf("no request was served: %v", r.Counts)
			}
			if err := r.RemoveDir(); err != nil {
				t.Error(err)
			}
		})
	}
}

// The checks themselves: each of these must be found.
func TestRecorder(t *testing.T) {
	for name, f := range map[string]func(b *recorder){
		"run twice":          func(b *recorder) { b.ran("a", "/once/x", "i-1", false); b.ran("a", "/once/x", "i-2", false) },
		"refused after run":  func(b *recorder) { b.ran("a", "/once/x", "i-1", false); b.refused("a", "/once/x", "503") },
		"run after refusal":  func(b *recorder) { b.refused("a", "/once/x", "503"); b.ran("a", "/once/x", "i-1", false) },
		"unasked":            func(b *recorder) { b.ran("", "/safe/x", "i-1", false) },
		"server leaves":      func(b *recorder) { b.ran("a", "/safe/x", "i-1", true) },
		"older in one start": func(b *recorder) { b.worked("gate-1#1", 5, 0); b.worked("gate-1#1", 4, b.newest("gate-1#1")) },
	} {
		b := newRecorder()
		if f(b); len(b.report().Findings) != 1 {
			t.Errorf("%s: got findings %q, want one", name, b.report().Findings)
		}
	}
	b := newRecorder()
	b.ran("a", "/safe/x", "i-1", false)
	b.ran("a", "/safe/x", "i-2", false) // may be repeated
	b.refused("b", "/once/x", "503")
	b.worked("gate-1#1", 4, 0)
	b.worked("gate-1#1", 5, 4)
	if got := b.report().Findings; len(got) != 0 {
		t.Errorf("got findings %q, want none", got)
	}
}
