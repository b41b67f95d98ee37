// Package agentd is the agent process, which runs next to a target: it announces the target to the entries, runs core/agent on
// one goroutine, and carries out its effects at the target and the entries.
//
// Data flow: control frames and bulk messages arrive on their own goroutines, are decoded there and posted to the loop;
// the loop steps the core; its effects go to the target on a goroutine per task, and to the entries through outboxes.
package agentd
