// Package ident identifies one run of a process by its configured name and the incarnation generated at its start.
package ident
