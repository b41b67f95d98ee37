// Package score collects how the jobs of a load ended, and compares two such collections.
package score
