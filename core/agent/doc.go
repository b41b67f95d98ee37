// Package agent schedules the tasks of one target: it orders their starts, checks the fence immediately before each start,
// records what was started, and refuses attempts that can't start.
//
// It is driven by one goroutine, which passes in the current time. The life cycle of an attempt is the state chart
// attempt.chart.toml, which the code interprets.
package agent
