// Package frame puts protobuf messages on byte streams, each after a four-byte big-endian length.
package frame
