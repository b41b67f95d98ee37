// Package outbox queues messages for one stream, so that the control goroutine never waits for a connection.
package outbox
