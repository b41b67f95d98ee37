// Package local runs a complete small installation inside one process: the stand-in log, an entry, agents and stand-in targets.
package local
