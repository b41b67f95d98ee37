// Package codec converts the core's types to protobuf messages and back.
package codec
