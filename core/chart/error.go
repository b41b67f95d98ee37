package chart

import "fmt"

// Error describes an invalid value in a chart.
type Error struct {
	Chart  string // the chart's name
	Field  string // the key of the chart file
	Value  string // the state, event or action in question
	Reason string // what is wrong with it
}

// Error returns the chart, the key, the value and the reason in one line.
func (e *Error) Error() string {
	return fmt.Sprintf("chart %q: %s: %q: %s", e.Chart, e.Field, e.Value, e.Reason)
}
