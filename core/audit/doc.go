// Package audit holds the entry of the configuration's history: who changed what, and when.
package audit
