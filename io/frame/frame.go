package frame

import (
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

const (
	// ControlLimit is the largest frame on a control connection, in bytes.
	ControlLimit = 256 << 10
	// BulkLimit is the largest message on a bulk stream, in bytes.
	BulkLimit = 64 << 20

	prefixBytes = 4
	// initialBytes is the largest buffer that is allocated before any byte of a frame has arrived.
	initialBytes = 64 << 10
)

// Error reports why a frame was rejected; its connection can't be read further, as the next frame's start is unknown.
type Error struct {
	reason string
	size   int
	limit  int
}

// Error returns the reason, with the size and the limit in bytes where they apply.
func (e *Error) Error() string {
	if e.limit == 0 {
		return "frame: " + e.reason
	}
	return fmt.Sprintf("frame: %s: %d bytes, limit %d", e.reason, e.size, e.limit)
}

// Append writes m with its length prefix to dst and returns the extended slice.
func Append(dst []byte, m proto.Message) ([]byte, error) {
	start := len(dst)
	dst = append(dst, 0, 0, 0, 0)
	dst, err := proto.MarshalOptions{}.MarshalAppend(dst, m)
	if err != nil {
		return dst[:start], &Error{reason: err.Error()}
	}
	binary.BigEndian.PutUint32(dst[start:], uint32(len(dst)-start-prefixBytes))
	return dst, nil
}

// Decode decodes the first frame of buf into m and returns its length in bytes, or 0 when more bytes are needed.
func Decode(buf []byte, limit int, m proto.Message) (int, error) {
	if len(buf) < prefixBytes {
		return 0, nil
	}
	size := int(binary.BigEndian.Uint32(buf))
	if size > limit {
		return 0, &Error{reason: "too large", size: size, limit: limit}
	}
	end := prefixBytes + size
	if len(buf) < end {
		return 0, nil
	}
	if err := proto.Unmarshal(buf[prefixBytes:end], m); err != nil {
		return 0, &Error{reason: "garbled: " + err.Error()}
	}
	return end, nil
}

// Read reads one frame of at most limit bytes from r into m; errors are those of r or an *Error.
func Read(r io.Reader, limit int, m proto.Message) error {
	return ReadHeld(r, limit, m, func(int64) error { return nil })
}

// ReadHeld is Read with a function that is told how many bytes the frame takes, before they are allocated, and whose error ends it.
func ReadHeld(r io.Reader, limit int, m proto.Message, hold func(bytes int64) error) error {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint32(prefix[:]))
	if size > limit {
		return &Error{reason: "too large", size: size, limit: limit}
	}
	body, err := readBody(r, size, hold)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(body, m); err != nil {
		return &Error{reason: "garbled: " + err.Error()}
	}
	return nil
}

// copies is how often the bytes of a frame are in memory at once: while a buffer grows, and when the message is decoded.
const copies = 2

// readBody reads size bytes into a buffer that grows as they arrive, since a peer can send any size without the bytes.
func readBody(r io.Reader, size int, hold func(bytes int64) error) ([]byte, error) {
	var body []byte
	for len(body) < size {
		n := min(size-len(body), max(len(body), initialBytes))
		if err := hold(copies * int64(len(body)+n)); err != nil {
			return nil, err
		}
		grown := make([]byte, len(body)+n)
		copy(grown, body)
		if _, err := io.ReadFull(r, grown[len(body):]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		body = grown
	}
	return body, nil
}

// Write writes m with its length prefix to w in a single call.
func Write(w io.Writer, m proto.Message) error {
	buf, err := Append(nil, m)
	if err != nil {
		return err
	}
	_, err = w.Write(buf)
	return err
}
