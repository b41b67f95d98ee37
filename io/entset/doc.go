// Package entset holds an entry's settings.
package entset
