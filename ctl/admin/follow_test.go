package admin

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// follow must print the lines of one request only, in the order of time, whichever
// process wrote them.
func TestFollow(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	one := write("gate-1", "I1025 18:17:52.000002 1 call.go:1] \"Request\" id=\"ab\" end=\"refused\"\nI1025 18:17:52.000001 1 x.go:1] \"Request\" id=\"abc\"\n")
	two := write("gate-2", "I1025 18:17:51.999999 1 attempt.go:1] \"Attempt\" id=\"ab\" outcome=\"broke\"\n")
	for name, x := range map[string]struct {
		args []string
		code int
		want []string
	}{
		"both":       {[]string{"follow", "ab", one, two}, ExitDone, []string{"gate-2  I1025 18:17:51", "gate-1  I1025 18:17:52.000002"}},
		"unknown id": {[]string{"follow", "zz", one, two}, ExitUsage, nil},
		"no file":    {[]string{"follow", "ab", filepath.Join(dir, "none")}, ExitUsage, nil},
		"no log":     {[]string{"follow", "ab"}, ExitUsage, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errs bytes.Buffer
			if got := Run(t.Context(), x.args, nil, &out, &errs); got != x.code {
				t.Fatalf("got code %d (%s), want %d", got, errs.String(), x.code)
			}
			var lines []string
			if out.Len() > 0 {
				lines = strings.Split(strings.TrimSpace(out.String()), "\n")
			}
			if len(lines) != len(x.want) {
				t.Fatalf("got %q, want %d lines", lines, len(x.want))
			}
			for i, want := range x.want {
				if !strings.HasPrefix(lines[i], want) {
					t.Errorf("got line %q, want one that begins with %q", lines[i], want)
				}
			}
		})
	}
}
