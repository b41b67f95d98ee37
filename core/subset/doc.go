// Package subset selects on an agent the entries to which it offers its target. Each agent ranks all entries by a hash of its own
// and the entry's name and selects the first few that answer (rendezvous hashing): the number of connections per process is the
// same with hundreds of hosts as with dozens, targets spread evenly over the entries, and the loss of an entry moves only its own
// agents.
package subset
