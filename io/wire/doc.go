// Package wire holds the generated protobuf messages that the project's processes exchange.
package wire
