// Package roster holds the targets that an entry knows: what they can hold, how busy they are and whether they may get work.
package roster
