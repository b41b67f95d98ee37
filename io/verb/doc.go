// Package verb holds the commands of the program, one file each, listed in the look-up table of table.go.
package verb
