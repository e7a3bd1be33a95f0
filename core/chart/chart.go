// Package chart reads state charts from YAML files and interprets them.
//
// A chart is a pure table from state and event to the next state; the
// current state belongs to the caller, so that one chart serves any number
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

// Chart is an interpreted state chart.
type Chart struct {
	name  string
	start State
	moves map[State]map[Event]State
}

type file struct {
	Name   string                    `yaml:"name"`
	Start  State                     `yaml:"start"`
	States map[State]map[Event]State `yaml:"states"`
}

// Parse reads a chart. Each state lists its events with the next state; a
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
	return &Chart{name: f.Name, start: f.Start, moves: f.States}, nil
}

// MustParse is Parse for charts embedded in the program; it panics on error.
func MustParse(data []byte) *Chart {
	c, err := Parse(data)
	if err != nil {
		panic(err)
	}
	return c
}

// StartState returns the first state.
func (c *Chart) StartState() State { return c.start }

// Next returns the state after an event, or false if the event is not
// allowed in the state.
func (c *Chart) Next(s State, e Event) (State, bool) {
	next, ok := c.moves[s][e]
	return next, ok
}

// IsFinal tells whether the state has no events.
func (c *Chart) IsFinal(s State) bool { return len(c.moves[s]) == 0 }

// States returns all states in the order of their names.
func (c *Chart) States() []State {
	list := make([]State, 0, len(c.moves))
	for s := range c.moves {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}
