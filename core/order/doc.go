// Package order defines an owner's order to an agent to start a task.
package order
