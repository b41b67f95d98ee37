// Package vers determines the configuration version in force from the order of records in the log.
package vers
