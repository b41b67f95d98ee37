// Package vers decides which configuration version is in force from the order of records in the log.
package vers
