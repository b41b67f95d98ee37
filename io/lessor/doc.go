// Package lessor is the stand-in of the platform's lease service of a worker: leases, their guard actions, lagged usage, faults.
package lessor
