// Package ledger records the tasks that an agent has started, and their results.
package ledger
