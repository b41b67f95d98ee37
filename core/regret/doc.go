// Package regret compares what entries earned in each window of time with an upper bound: the most that a dispatcher could have
// earned that knew all jobs, run times and losses beforehand. A job earns 1 if it is answered within its objective, a fifth if it
// is answered later but in time to be of use, and nothing otherwise.
//
// Data flow: log lines, in order of time, become jobs (jobs.go) and the capacity of targets (fleet.go). After every ten seconds of
// log the bound of the jobs that arrived in them is worked out (bound.go), and they are summed up by window (report.go), so memory
// doesn't grow with the length of the logs.
package regret
