// Package stale finds registrations that have not been renewed for so long that their process is considered gone.
package stale
