// Package lag measures the time from a configuration's acceptance until every process has it in force.
package lag
