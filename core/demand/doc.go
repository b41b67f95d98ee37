// Package demand describes how much work entries are asked for and how much of it they start, in total and by route. Entries and
// agents exchange it so that scarce room is divided by what callers ask for, whichever entry they reach.
package demand
