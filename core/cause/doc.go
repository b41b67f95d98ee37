// Package cause names what work can suffer from, in one vocabulary that entries record and owners read.
package cause
