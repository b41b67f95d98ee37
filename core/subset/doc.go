// Package subset decides at an agent which of the entries it offers its target to. Each agent ranks all entries in an order of its
// own, drawn from the hash of both names, and takes the first few that answer: so a process keeps as many connections in a fleet
// of hundreds of hosts as in one of dozens, targets and entries meet evenly, and the loss of an entry moves only its own agents.
package subset
