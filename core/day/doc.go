// Package day merges the records of all entries into the summary of one local day.
package day
