// Package entset loads and checks an entry's settings.
package entset
