// Package conf keeps a process on the newest configuration: it follows the log, publishes to it, and shares with peers.
package conf
