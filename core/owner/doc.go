// Package owner handles the submissions of the shards that an entry owns: it joins resubmissions to their job,
// places tasks, retries tasks that were refused before their start, and gives each job exactly one answer.
//
// It is driven by one goroutine, which passes in the current time. The life cycles of tasks and jobs are the state
// charts task.chart.toml and job.chart.toml, which the code interprets.
package owner
