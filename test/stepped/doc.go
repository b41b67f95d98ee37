// Package stepped tests core/owner and core/agent together without real time: messages are lost, duplicated, delayed and
// reordered, agents restart, owners are replaced while they still run. The targets' own count of starts is checked.
package stepped
