// Package job describes a submission as its caller sent it.
package job
