package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"citronledge.example/platform"
)

// Guards against a start that fails, or expects an implausible time, because of
// the file of earlier starts.
func TestStartTimeFile(t *testing.T) {
	for name, x := range map[string]struct {
		content string
		want    time.Duration
	}{"none": {"", 0}, "valid": {"850ms\n", 850 * time.Millisecond}, "torn": {"8", 0}} {
		dir := t.TempDir()
		file := filepath.Join(dir, startTimeName)
		if x.content != "" {
			if err := os.WriteFile(file, []byte(x.content), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		node := &platformNode{platform.Node{DataDir: dir, MemoryLimit: 88 << 20}}
		hold := node.hold()
		if hold.Expected != x.want || hold.MaxBytes < 4<<20 {
			t.Errorf("%s: got an expected start of %v and %d bytes, want %v and at least the largest body", name, hold.Expected, hold.MaxBytes, x.want)
		}
		hold.OnStart(900 * time.Millisecond)
		if got := node.hold().Expected; got < 800*time.Millisecond || got > time.Second {
			t.Errorf("%s: got an expected start of %v after one of 900ms", name, got)
		}
	}
	hold := (&platformNode{platform.Node{MemoryLimit: 88 << 20}}).hold()
	if hold.Expected != 0 || hold.OnStart != nil {
		t.Errorf("got an expected start of %v on a VM without a disk, want none", hold.Expected)
	}
}
