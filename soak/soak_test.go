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

// seeds that once had findings, and the cause.
var seeds = map[uint64]string{
	1:   "a SIGHUP in the last moments of a planned stop killed a state process",
	111: "a check of the soak itself counted the time in which the list of backend servers failed",
	121: "the same",
	203: "a SIGTERM right after the start killed a state process instead of stopping it",
	227: "the same",
}

// buildPrograms builds the programs and returns their folder.
func buildPrograms(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	for _, program := range []string{"gate", "state"} {
		cmd := exec.Command("go", "build", "-o", filepath.Join(bin, program), fmt.Sprintf("citronledge.example/%s/cmd/%s", program, program))
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("go build %s: %v\n%s", program, err, out)
		}
	}
	return bin
}

// Short runs of the real programs under faults check the promises that the
// package comment names. A seed determines the events, not their exact timing.
func TestSeeds(t *testing.T) {
	bin := buildPrograms(t)
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

// The recorder must find each broken promise, and nothing where none is broken.
func TestRecorder(t *testing.T) {
	for name, f := range map[string]func(r *recorder){
		"run twice": func(r *recorder) {
			r.recordRun("a", "/once/x", "i-1", false)
			r.recordRun("a", "/once/x", "i-2", false)
		},
		"refused after run": func(r *recorder) { r.recordRun("a", "/once/x", "i-1", false); r.recordRefusal("a", "/once/x", "503") },
		"run after refusal": func(r *recorder) { r.recordRefusal("a", "/once/x", "503"); r.recordRun("a", "/once/x", "i-1", false) },
		"unasked":           func(r *recorder) { r.recordRun("", "/safe/x", "i-1", false) },
		"server leaves":     func(r *recorder) { r.recordRun("a", "/safe/x", "i-1", true) },
		"older in one start": func(r *recorder) {
			r.recordServed("gate-1#1", 5, 0)
			r.recordServed("gate-1#1", 4, r.newestServed("gate-1#1"))
		},
	} {
		r := newRecorder()
		if f(r); len(r.report().Findings) != 1 {
			t.Errorf("%s: got findings %q, want one", name, r.report().Findings)
		}
	}
	r := newRecorder()
	r.recordRun("a", "/safe/x", "i-1", false)
	r.recordRun("a", "/safe/x", "i-2", false) // a safe request may run again
	r.recordRefusal("b", "/once/x", "503")
	r.recordServed("gate-1#1", 4, 0)
	r.recordServed("gate-1#1", 5, 4)
	if got := r.report().Findings; len(got) != 0 {
		t.Errorf("got findings %q, want none", got)
	}
}
