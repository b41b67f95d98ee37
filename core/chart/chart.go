package chart

// A chart is compiled at load time into one flat table of cells, indexed by state and event. A step then costs two map
// look-ups, or none for callers that keep the small integer ids, and never allocates.

// Chart is a checked and compiled state chart; it is immutable and safe for concurrent use.
type Chart struct {
	name     string
	states   []string
	events   []string
	stateIDs map[string]int
	eventIDs map[string]int
	initial  int
	final    []bool
	cells    []cell
}

type cell struct {
	set     bool
	next    int
	actions []string
}

// Name returns the name given in the chart's file.
func (c *Chart) Name() string { return c.name }

// Initial returns the name of the initial state.
func (c *Chart) Initial() string { return c.states[c.initial] }

// InitialID returns the id of the initial state.
func (c *Chart) InitialID() int { return c.initial }

// States returns the names of all states; a state's id is its place in the list.
func (c *Chart) States() []string { return append([]string(nil), c.states...) }

// Events returns the names of all events; an event's id is its place in the list.
func (c *Chart) Events() []string { return append([]string(nil), c.events...) }

// StateID returns the id of a state, or -1 if the chart has no such state.
func (c *Chart) StateID(state string) int {
	if id, ok := c.stateIDs[state]; ok {
		return id
	}
	return -1
}

// EventID returns the id of an event, or -1 if the chart has no such event.
func (c *Chart) EventID(event string) int {
	if id, ok := c.eventIDs[event]; ok {
		return id
	}
	return -1
}

// StateName returns the name of a state id; it panics on an id that isn't of this chart.
func (c *Chart) StateName(id int) string { return c.states[id] }

// Final reports whether a state is final; an unknown state isn't.
func (c *Chart) Final(state string) bool {
	id, ok := c.stateIDs[state]
	return ok && c.final[id]
}

// FinalID reports whether a state id is final; it panics on an id that isn't of this chart.
func (c *Chart) FinalID(id int) bool { return c.final[id] }

// Next returns the state after the event and the actions to take, which the caller must not change; an ignored event
// returns the same state and no actions, and an unknown state or event an *Error.
func (c *Chart) Next(state, event string) (next string, actions []string, err error) {
	s, ok := c.stateIDs[state]
	if !ok {
		return state, nil, &Error{Chart: c.name, Field: "states", Value: state, Reason: "unknown state"}
	}
	e, ok := c.eventIDs[event]
	if !ok {
		return state, nil, &Error{Chart: c.name, Field: "events", Value: event, Reason: "unknown event"}
	}
	id, actions := c.Step(s, e)
	return c.states[id], actions, nil
}

// Step does the same as Next by ids; it panics on an id that isn't of this chart.
func (c *Chart) Step(state, event int) (next int, actions []string) {
	at := &c.cells[state*len(c.events)+event]
	return at.next, at.actions
}
