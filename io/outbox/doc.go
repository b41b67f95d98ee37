// Package outbox queues messages for one stream, so that the control goroutine never blocks on a connection.
package outbox
