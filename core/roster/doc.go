// Package roster is an entry's table of targets: their capacity, their load and whether they may get work.
package roster
