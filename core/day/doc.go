// Package day merges the records of all entries into the account of one local day.
package day
