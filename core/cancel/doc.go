// Package cancel batches the cancellations of attempts that have not started, so that a wave of them needs few messages to
// each agent.
package cancel
