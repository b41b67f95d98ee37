// Package addr checks the addresses in settings; processes address each other by IP only, without host names.
package addr
