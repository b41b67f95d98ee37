// Package agent decides for the tasks that wait and run beside one target: the order of starts, the fence that is
// checked at the very start, the record of what was started, and which attempts are refused.
//
// It is stepped by one goroutine with the present time and keeps no clock. The life of an attempt is the state chart
// attempt.chart.toml, which the code interprets.
package agent
