// Package rollup holds the record that an entry writes for a period of time, one minute unless the log was down.
package rollup
