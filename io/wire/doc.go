// Package wire holds the generated protobuf messages that the project's own processes exchange.
package wire
