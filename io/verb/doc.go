// Package verb implements the program's commands, one file each; table.go lists them.
package verb
