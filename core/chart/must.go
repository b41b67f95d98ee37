package chart

// The charts are embedded in the program and loaded at start-up, so that an invalid chart, or code that names a state or
// event missing from its chart, stops the process there.

// MustLoad loads a chart that is part of the program; it panics where Load fails.
func MustLoad(data []byte, actions ...string) *Chart {
	c, err := Load(data, actions...)
	if err != nil {
		panic(err)
	}
	return c
}

// MustState returns the id of a state; it panics if the chart has no such state.
func (c *Chart) MustState(state string) int { return c.must(c.StateID(state), "state", state) }

// MustEvent returns the id of an event; it panics if the chart has no such event.
func (c *Chart) MustEvent(event string) int { return c.must(c.EventID(event), "event", event) }

func (c *Chart) must(id int, what, name string) int {
	if id < 0 {
		panic("chart " + c.name + " has no " + what + " " + name)
	}
	return id
}
