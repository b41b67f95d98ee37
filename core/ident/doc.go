// Package ident names one life of a process: its configured name and the incarnation drawn at its start.
package ident
