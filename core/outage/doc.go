// Package outage detects that a whole data centre is cut off, from targets that are lost at about the same time.
package outage
