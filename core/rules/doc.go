// Package rules reads a configuration document into typed values for the daemons.
package rules
