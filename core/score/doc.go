// Package score collects the results of the jobs of a load run, and compares two runs.
package score
