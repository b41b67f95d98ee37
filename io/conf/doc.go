// Package conf keeps the configuration of a process current: it follows and publishes to the log and exchanges state with peers.
package conf
