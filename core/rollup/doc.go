// Package rollup holds the record that an entry writes of a stretch of its time, a minute unless the log was down.
package rollup
