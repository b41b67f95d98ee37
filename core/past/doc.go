// Package past describes a start in an agent's ledger from before the current owner's epoch.
package past
