package chart

// The charts are part of the program and are read when it starts, so that a wrong one, or code that names what its chart
// lacks, stops the process there.

// Must is Load for a chart of the program itself; it panics where Load fails.
func Must(data []byte, actions ...string) *Chart {
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
