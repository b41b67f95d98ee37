// Package fate tells how a repeatable job ended.
package fate
