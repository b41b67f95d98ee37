// Package frame reads and writes protobuf messages on byte streams, each prefixed with its length in four big-endian bytes.
package frame
