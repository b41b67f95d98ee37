// Package ledger is an agent's record of the tasks that it has started and of their results.
package ledger
