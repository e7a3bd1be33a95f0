package main

import (
	"strings"
	"testing"

	"citronledge.example/core/server"
)

// All faults of the settings must be reported at once, not one per start.
func TestAllSettingsFaultsReported(t *testing.T) {
	err := server.LoadSettings("side", []string{"--check", "--admin", "x", "--slots", "-1", "--service", "pay", "--fencing"}, &settings{})
	if err == nil {
		t.Fatal("got no error")
	}
	for _, want := range []string{"--name", "--zone", "--keys", "--admin", "--listen", "--slots", "--service", "--fencing"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("got %q, want a line about %s", err, want)
		}
	}
}
