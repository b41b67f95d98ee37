// Package prior describes a start in an agent's ledger from before the current owner's epoch.
package prior
