// Package codec turns the core's typed messages into protobuf ones and back.
package codec
