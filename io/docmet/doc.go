// Package docmet provides the metrics of the operators' document that a process holds.
package docmet
