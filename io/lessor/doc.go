// Package lessor is a stand-in for the platform's lease service of a worker, with guard actions, delayed usage and faults.
package lessor
