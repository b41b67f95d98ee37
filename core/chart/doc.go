// Package chart loads and interprets state charts written in TOML.
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
// Every state that isn't final must list each event, either in a transition or as ignored, so that no input is left
// unhandled. A final state ignores every event.
package chart
