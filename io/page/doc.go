// Package page renders the account of a day for its owner, as HTML without script, as text and as JSON.
package page
