package main

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"citronledge.example/core/policy"
	"citronledge.example/gate/relay"
)

// startTimeName is the file in the data folder of the VM with the time from the
// start of the gate until it can serve. Without a disk, the default applies to
// each start.
const startTimeName = "gate-start-time"

// readStartTimeout bounds reading that file: a slow disk must not delay the start.
const readStartTimeout = 50 * time.Millisecond

// holdOption makes the relay hold requests if the deployment says that they are
// served again soon after a loss of all VMs.
func (s *platformNode) holdOption() relay.Option {
	if s.Bounds.Recovery == 0 {
		return func(*relay.Relay) {}
	}
	return relay.WithHold(s.hold())
}

// hold returns how this gate holds requests until it can serve.
func (s *platformNode) hold() relay.Hold {
	hold := relay.Hold{MaxBytes: int64(heapShare * holdShare * float64(s.MemoryLimit))}
	if s.DataDir == "" {
		return hold
	}
	file := filepath.Join(s.DataDir, startTimeName)
	hold.Expected = readStartTime(file)
	hold.OnStart = func(took time.Duration) {
		if err := writeStartTime(file, policy.ObservedStart(hold.Expected, took)); err != nil {
			klog.InfoS("Failed to write the time of this start; the next one assumes the previous time", "err", err)
		}
	}
	return hold
}

// readStartTime returns the time that is stored in a file; 0 if there is none or
// it cannot be read within readStartTimeout.
func readStartTime(file string) time.Duration {
	read := make(chan []byte, 1)
	go func() {
		text, _ := os.ReadFile(file) // the default does without the file
		read <- text
	}()
	var text []byte
	select {
	case text = <-read:
	case <-time.After(readStartTimeout):
	}
	if len(text) == 0 {
		return 0
	}
	d, err := time.ParseDuration(strings.TrimSpace(string(text)))
	if err != nil {
		klog.InfoS("The stored time of earlier starts is not valid; using the default", "file", file, "err", err)
		return 0
	}
	return d
}

// writeStartTime stores a time in a file. It is not synced: after a power loss the
// default does.
func writeStartTime(file string, d time.Duration) error {
	temp := file + ".new"
	if err := os.WriteFile(temp, []byte(d.Round(time.Millisecond).String()+"\n"), 0o600); err != nil {
		return err
	}
	return os.Rename(temp, file)
}
