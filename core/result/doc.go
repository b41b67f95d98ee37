// Package result describes how a started task ended.
package result
