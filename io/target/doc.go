// Package target calls the back end that runs beside an agent.
package target
