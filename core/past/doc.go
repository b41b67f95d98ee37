// Package past describes a start that an agent's ledger holds from before the present owner's epoch.
package past
