package main

import (
	"strings"
	"testing"
)

// Guards against settings whose faults come up one by one.
func TestAllFaultsAtOnce(t *testing.T) {
	err := run([]string{"--check", "--admin", "x", "--state", "nowhere", "--cert", "c.pem", "--ratings", "::", "--links", "1"})
	if err == nil {
		t.Fatal("got no error")
	}
	for _, want := range []string{"--name", "--zone", "--keys", "--admin", "--listen", "--state", "--cert", "--ratings", "--links"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("got %q, want a line about %s", err, want)
		}
	}
}
