package chart

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against chart files with transitions to undefined states.
func TestParseRefuses(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"unknown start": {"name: x\nstart: a\nstates: {b: {}}", `start state "a"`},
		"unknown next":  {"name: x\nstart: a\nstates: {a: {go: b}}", `unknown state "b"`},
		"unknown field": {"name: x\nstart: a\nstate: {a: {}}", "not valid"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := Parse([]byte(tt.text)); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got %v, want %s", err, tt.want)
			}
		})
	}
}

func ExampleParse() {
	c := MustParse([]byte("name: door\nstart: closed\nstates: {closed: {open: opened}, opened: {close: closed}, broken: {}}"))
	next, ok := c.Next("closed", "open")
	fmt.Println(c.StartState(), next, ok, c.IsFinal("broken"), c.States())
	_, ok = c.Next("closed", "close")
	fmt.Println(ok)
	// Output:
	// closed opened true true [broken closed opened]
	// false
}
