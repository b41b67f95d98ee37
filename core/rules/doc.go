// Package rules gives the daemons typed answers from a configuration document.
package rules
