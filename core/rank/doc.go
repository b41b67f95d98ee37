// Package rank holds the classes by which tasks of small jobs go before those of large ones.
package rank
