package chart

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

type document struct {
	Name        string              `toml:"name"`
	Initial     string              `toml:"initial"`
	States      []string            `toml:"states"`
	Final       []string            `toml:"final"`
	Events      []string            `toml:"events"`
	Ignore      map[string][]string `toml:"ignore"`
	Transitions []transition        `toml:"transition"`
}

type transition struct {
	From    []string `toml:"from"`
	Event   string   `toml:"event"`
	To      string   `toml:"to"`
	Actions []string `toml:"actions"`
}

// Load parses a chart and checks it against the actions that the caller implements; anything duplicate, unknown,
// missing or unreachable is an *Error.
func Load(data []byte, actions ...string) (*Chart, error) {
	var doc document
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := dec.Decode(&doc); err != nil {
		return nil, errors.Wrap(err, "read chart")
	}
	b := builder{doc: &doc, known: make(map[string]bool, len(actions))}
	for _, a := range actions {
		b.known[a] = true
	}
	return b.build()
}

type builder struct {
	doc   *document
	known map[string]bool
	chart *Chart
}

func (b *builder) build() (*Chart, error) {
	b.chart = &Chart{name: b.doc.Name}
	steps := []func() error{b.names, b.initialAndFinal, b.transitions, b.ignores, b.complete, b.allReachable, b.reachesFinal}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return b.chart, nil
}

func (b *builder) fail(field, value, reason string) error {
	return &Error{Chart: b.doc.Name, Field: field, Value: value, Reason: reason}
}

func (b *builder) names() error {
	c := b.chart
	if c.name == "" {
		return b.fail("name", "", "missing")
	}
	var err error
	if c.stateIDs, err = b.index("states", b.doc.States); err != nil {
		return err
	}
	if c.eventIDs, err = b.index("events", b.doc.Events); err != nil {
		return err
	}
	c.states, c.events = b.doc.States, b.doc.Events
	c.final = make([]bool, len(c.states))
	c.cells = make([]cell, len(c.states)*len(c.events))
	return nil
}

func (b *builder) index(field string, names []string) (map[string]int, error) {
	if len(names) == 0 {
		return nil, b.fail(field, "", "missing")
	}
	ids := make(map[string]int, len(names))
	for i, name := range names {
		if name == "" {
			return nil, b.fail(field, "", "empty name")
		}
		if _, ok := ids[name]; ok {
			return nil, b.fail(field, name, "duplicate")
		}
		ids[name] = i
	}
	return ids, nil
}

func (b *builder) initialAndFinal() error {
	c := b.chart
	id, ok := c.stateIDs[b.doc.Initial]
	if !ok {
		return b.fail("initial", b.doc.Initial, "unknown state")
	}
	c.initial = id
	for _, name := range b.doc.Final {
		id, ok := c.stateIDs[name]
		if !ok {
			return b.fail("final", name, "unknown state")
		}
		if c.final[id] {
			return b.fail("final", name, "duplicate")
		}
		c.final[id] = true
	}
	return nil
}

func (b *builder) transitions() error {
	for i := range b.doc.Transitions {
		if err := b.transition(&b.doc.Transitions[i]); err != nil {
			return err
		}
	}
	return nil
}

func (b *builder) transition(t *transition) error {
	to, ok := b.chart.stateIDs[t.To]
	if !ok {
		return b.fail("transition.to", t.To, "unknown state")
	}
	if err := b.actions(t); err != nil {
		return err
	}
	if len(t.From) == 0 {
		return b.fail("transition.from", "", "missing")
	}
	for _, from := range t.From {
		at, err := b.cell("transition", from, t.Event)
		if err != nil {
			return err
		}
		*at = cell{set: true, next: to, actions: t.Actions}
	}
	return nil
}

func (b *builder) actions(t *transition) error {
	seen := make(map[string]bool, len(t.Actions))
	for _, a := range t.Actions {
		if !b.known[a] {
			return b.fail("transition.actions", a, "unknown action")
		}
		if seen[a] {
			return b.fail("transition.actions", a, "duplicate")
		}
		seen[a] = true
	}
	return nil
}

func (b *builder) ignores() error {
	for state, events := range b.doc.Ignore {
		for _, event := range events {
			at, err := b.cell("ignore", state, event)
			if err != nil {
				return err
			}
			*at = cell{set: true, next: b.chart.stateIDs[state]}
		}
	}
	return nil
}

func (b *builder) cell(field, state, event string) (*cell, error) {
	c := b.chart
	s, ok := c.stateIDs[state]
	if !ok {
		return nil, b.fail(field, state, "unknown state")
	}
	e, ok := c.eventIDs[event]
	if !ok {
		return nil, b.fail(field, event, "unknown event")
	}
	if c.final[s] {
		return nil, b.fail(field, state, "a final state ignores every event")
	}
	at := &c.cells[s*len(c.events)+e]
	if at.set {
		return nil, b.fail(field, state+"/"+event, "duplicate")
	}
	return at, nil
}

func (b *builder) complete() error {
	c := b.chart
	for s, state := range c.states {
		for e, event := range c.events {
			at := &c.cells[s*len(c.events)+e]
			if c.final[s] {
				*at = cell{set: true, next: s}
			}
			if !at.set {
				return b.fail("transition", state+"/"+event, "missing: neither a transition nor ignored")
			}
		}
	}
	return nil
}

func (b *builder) allReachable() error {
	c := b.chart
	seen := make([]bool, len(c.states))
	seen[c.initial] = true
	for todo := []int{c.initial}; len(todo) > 0; todo = todo[1:] {
		for e := range c.events {
			next, _ := c.Step(todo[0], e)
			if !seen[next] {
				seen[next] = true
				todo = append(todo, next)
			}
		}
	}
	for s, ok := range seen {
		if !ok {
			return b.fail("states", c.states[s], "unreachable")
		}
	}
	return nil
}

// reachesFinal rejects a state from which no final state can be reached; a chart without final states passes.
func (b *builder) reachesFinal() error {
	c := b.chart
	if len(b.doc.Final) == 0 {
		return nil
	}
	ends := append([]bool(nil), c.final...)
	for changed := true; changed; {
		changed = false
		for s := range c.states {
			if !ends[s] && b.leadsTo(s, ends) {
				ends[s], changed = true, true
			}
		}
	}
	for s, ok := range ends {
		if !ok {
			return b.fail("states", c.states[s], "never reaches a final state")
		}
	}
	return nil
}

func (b *builder) leadsTo(state int, ends []bool) bool {
	for e := range b.chart.events {
		if next, _ := b.chart.Step(state, e); ends[next] {
			return true
		}
	}
	return false
}
