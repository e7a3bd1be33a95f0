package main

import (
	"strings"
	"testing"

	"citronledge.example/core/server"
)

// Guards against settings whose faults come up one by one.
func TestAllFaultsAtOnce(t *testing.T) {
	err := server.LoadSettings("gate", []string{"--check", "--admin", "x", "--state", "nowhere", "--cert", "c.pem", "--ratings", "::", "--links", "1"}, &settings{})
	if err == nil {
		t.Fatal("got no error")
	}
	for _, want := range []string{"--name", "--zone", "--keys", "--admin", "--listen", "--state", "--cert", "--ratings", "--links"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("got %q, want a line about %s", err, want)
		}
	}
}
