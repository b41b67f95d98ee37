// Package order describes what an owner tells an agent to start.
package order
