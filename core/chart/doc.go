// Package chart interprets state charts that are kept in TOML files.
//
// A chart file names its states, its events and its final states, and lists the transitions:
//
//	name    = "task"
//	initial = "queued"
//	states  = ["queued", "started", "done"]
//	final   = ["done"]
//	events  = ["start", "result"]
//
//	[ignore]
//	queued  = ["result"]
//	started = ["start"]
//
//	[[transition]]
//	from    = ["queued"]
//	event   = "start"
//	to      = "started"
//	actions = ["send-start"]
//
// Every state that isn't final says for each event either a transition or that it ignores the event, so that no input is
// forgotten. A final state ignores every event.
package chart
