package plot_test

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/score"
	"persimmonstage/io/plot"
)

func TestWriteSVGIsWellFormedWithLegend(t *testing.T) {
	var s score.Score
	for i := range 100 {
		s.Add(&score.JobResult{Team: "kits", Kind: "label", Outcome: score.Complete, Response: time.Duration(i+1) * time.Second, Ideal: time.Second})
	}
	var p plot.Plot
	p.Add("kits/label", s.Rows()[0])
	var buf bytes.Buffer
	require.NoError(t, p.WriteSVG(&buf))
	require.Contains(t, buf.String(), "kits/label")
	for d := xml.NewDecoder(&buf); ; {
		_, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		require.NoError(t, err)
	}
}
