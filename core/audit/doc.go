// Package audit defines an entry of the configuration's history: author, time and changes.
package audit
