// Package lag measures how long an accepted configuration takes until every process has it in force.
package lag
