package pack

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"persimmonstage/io/frame"
	"persimmonstage/io/wire"
)

const (
	// plainLimit is the size up to which a document is sent as it is, in bytes.
	plainLimit = 128 << 10
	// packedLimit is the largest compressed document, which leaves room for the other fields of its frame, in bytes.
	packedLimit = frame.ControlLimit - 1<<10
	// dataLimit bounds a decompressed document, in bytes.
	dataLimit = 32 << 20
)

// TooLargeError reports a document that no frame can hold; it isn't sent, and trying again is of no use.
type TooLargeError struct {
	Version int64
	Bytes   int // compressed
	Limit   int
}

// Error returns a message with the version, its size and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("configuration: version %d: %d bytes compressed, limit %d", e.Version, e.Bytes, e.Limit)
}

// Packer compresses the documents in messages, each version once. The zero value is ready to use.
type Packer struct {
	version int64
	packed  []byte
	err     error
}

// Pack replaces the data of m by its compressed form if it is large; after a *TooLargeError m must not be sent.
func (p *Packer) Pack(m *wire.Document) error {
	if len(m.Data) <= plainLimit {
		return nil
	}
	if p.version != m.Version {
		p.version = m.Version
		p.packed, p.err = compress(m.Version, m.Data)
	}
	m.Data, m.Packed = nil, p.packed
	return p.err
}

func compress(version int64, data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	if out.Len() > packedLimit {
		return nil, &TooLargeError{Version: version, Bytes: out.Len(), Limit: packedLimit}
	}
	return out.Bytes(), nil
}

// Data returns the data of a message, empty if it has none.
func Data(m *wire.Document) ([]byte, error) {
	if len(m.GetPacked()) == 0 {
		return m.GetData(), nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(m.Packed)), dataLimit+1))
	if err != nil {
		return nil, errors.Wrapf(err, "configuration: version %d", m.Version)
	}
	if len(data) > dataLimit {
		return nil, errors.Newf("configuration: version %d: more than %d bytes", m.Version, dataLimit)
	}
	return data, nil
}
