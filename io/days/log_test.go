package days_test

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonstage/core/ended"
	"persimmonstage/core/tally"
	"persimmonstage/io/days"
	"persimmonstage/io/logcl"
	"persimmonstage/io/logsrv"
	"persimmonstage/io/roll"
)

// A writer and a reader use the log stand-in through the real client. The answer to the only append is lost, so that the
// record is in the log twice and must count once.
func TestRecordAppendedTwiceCountsOnce(t *testing.T) {
	log, err := logsrv.Start("127.0.0.1:0", 1000, time.Hour)
	require.NoError(t, err)
	defer func() { require.NoError(t, log.Close()) }()
	resp, err := http.Post("http://"+log.Addr()+"/v1/faults", "application/json", bytes.NewBufferString(`{"lose-answers": 1}`))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusOK, resp.StatusCode)

	client := logcl.New(log.Addr())
	defer client.Close()
	w := roll.New(client, tally.New("entry-1", "i1"), "entry-1")
	now := time.Now()
	w.Update(func(t *tally.Tally) {
		t.JobEnded(now, "castle-kits", "label", ended.Complete, "", time.Second, time.Second, 0, 1)
	})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for waiting := 1; waiting > 0; waiting, _, _ = w.Backlog() {
		w.Run(ctx)
	}

	d := days.New(client, zone, w)
	defer d.Close()
	g, err := d.Digest(t.Context(), now, "")
	require.NoError(t, err)
	require.EqualValues(t, 1, g.Totals.Jobs)
	require.Empty(t, g.Notes)
	records, _, err := client.Read(t.Context(), roll.Stream, 0, 10, 0)
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(records), 2, "the append whose answer was lost succeeded and was retried")
}
