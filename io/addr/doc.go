// Package addr checks the addresses that settings name; processes talk by IP numbers only.
package addr
