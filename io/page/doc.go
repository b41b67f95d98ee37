// Package page renders the account of a day for the owner as HTML without scripts, as text and as JSON.
package page
