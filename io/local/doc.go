// Package local runs a whole small installation inside one process: the stand-in log, an entry, agents and stand-in targets.
package local
