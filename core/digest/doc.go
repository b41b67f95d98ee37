// Package digest holds the summary of a day for the business's owner, ready to be rendered.
package digest
