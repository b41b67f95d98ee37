// Package skip reports items of data written by others that can't be used and are skipped.
package skip
