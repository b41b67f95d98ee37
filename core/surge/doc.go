// Package surge tells from what callers ask for, and from what there is no room for, which work floods in.
package surge
