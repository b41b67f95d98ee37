// Package heap is an indexed binary heap whose elements can be moved and removed from the middle.
package heap
