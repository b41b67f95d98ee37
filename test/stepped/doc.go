// Package stepped drives core/owner and core/agent together without real time: messages are lost, doubled, delayed and
// overtaken, agents restart, owners are replaced while they still run; the targets' own count of starts is the judge.
package stepped
