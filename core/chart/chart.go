// Package chart reads state charts from YAML files and interprets them.
//
// A chart is a stateless table that maps a state and an event to the next
// state. The caller keeps the current state, so one chart can serve any number
// of items.
package chart

import (
	"sort"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

// State is a state of a chart.
type State string

// Event is an event of a chart.
type Event string

// Chart is a parsed state chart.
type Chart struct {
	name        string
	start       State
	transitions map[State]map[Event]State
}

type file struct {
	Name   string                    `yaml:"name"`
	Start  State                     `yaml:"start"`
	States map[State]map[Event]State `yaml:"states"`
}

// Parse parses a chart. Each state lists its events with the next state; a
// state without events is final.
//
//	name: door
//	start: closed
//	states:
//	  closed: {open: opened}
//	  opened: {close: closed}
func Parse(data []byte) (*Chart, error) {
	var f file
	if err := yaml.UnmarshalWithOptions(data, &f, yaml.Strict()); err != nil {
		return nil, eris.Wrap(err, "state chart is not valid")
	}
	if _, ok := f.States[f.Start]; !ok {
		return nil, eris.Errorf("chart %s: start state %q is not among the states", f.Name, f.Start)
	}
	for state, events := range f.States {
		for event, next := range events {
			if _, ok := f.States[next]; !ok {
				return nil, eris.Errorf("chart %s: %s on %s leads to the unknown state %q", f.Name, event, state, next)
			}
		}
	}
	return &Chart{name: f.Name, start: f.Start, transitions: f.States}, nil
}

// MustParse is like Parse but panics on error. It is for charts embedded in the
// program.
func MustParse(data []byte) *Chart {
	c, err := Parse(data)
	if err != nil {
		panic(err)
	}
	return c
}

// StartState returns the initial state.
func (c *Chart) StartState() State { return c.start }

// Next returns the state that follows s on event e, or false if s does not
// allow the event.
func (c *Chart) Next(s State, e Event) (State, bool) {
	next, ok := c.transitions[s][e]
	return next, ok
}

// IsFinal reports whether a state has no events.
func (c *Chart) IsFinal(s State) bool { return len(c.transitions[s]) == 0 }

// States returns all states, sorted by name.
func (c *Chart) States() []State {
	list := make([]State, 0, len(c.transitions))
	for s := range c.transitions {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}
