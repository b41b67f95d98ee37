// Package owner decides for the submissions of the shards that an entry owns: it joins resubmissions to their job,
// places tasks, retries what was refused before its start, and gives each job exactly one answer.
//
// It is stepped by one goroutine with the present time and keeps no clock. The lives of tasks and jobs are the state
// charts task.chart.toml and job.chart.toml, which the code interprets.
package owner
