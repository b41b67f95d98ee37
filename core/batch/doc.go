// Package batch describes a repeatable job: tasks of one shape, each of which may be attempted anew once no earlier attempt
// of it can still run.
package batch
