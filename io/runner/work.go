package runner

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// request is an optional payload format that sets a run time in addition to the text to process.
type request struct {
	WorkMS float64 `json:"work-ms"`
	Text   string  `json:"text"`
}

// work processes a payload by kind: it sorts its lines, compresses it, or by default hashes it.
func work(kind string, payload []byte, factor float64, done <-chan struct{}) ([]byte, error) {
	var r request
	text := payload
	if len(payload) > 0 && payload[0] == '{' && json.Unmarshal(payload, &r) == nil {
		sleep(time.Duration(r.WorkMS*factor*float64(time.Millisecond)), done)
		text = []byte(r.Text)
	}
	switch kind {
	case "sort":
		return sortLines(text), nil
	case "compress":
		return compress(text)
	default:
		return hash(text), nil
	}
}

func sortLines(text []byte) []byte {
	lines := bytes.Split(text, []byte("\n"))
	slices.SortFunc(lines, bytes.Compare)
	return bytes.Join(lines, []byte("\n"))
}

func compress(text []byte) ([]byte, error) {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if _, err := w.Write(text); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return buf.Bytes(), nil
}

func hash(text []byte) []byte {
	sum := sha256.Sum256(text)
	return []byte(hex.EncodeToString(sum[:]))
}
