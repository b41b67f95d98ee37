// Package needs holds the vector of what a task takes and what a target can hold.
package needs
