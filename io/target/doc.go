// Package target calls the back end that an agent stands beside.
package target
