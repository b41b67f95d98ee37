// Package rank defines the classes by which tasks of small jobs go before those of large jobs.
package rank
