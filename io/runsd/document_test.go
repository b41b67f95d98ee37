package runsd

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"persimmonstage/io/wire"
)

// TestOldAnswerOfTheStoreConfirmsNothing guards against an entry that takes its configuration as confirmed by an agent's read which
// showed the store as of before what the entry has read itself.
func TestOldAnswerOfTheStoreConfirmsNothing(t *testing.T) {
	d := newTestDaemon(nil)
	d.updateDocument(7, []byte("seven"), "store")
	for _, c := range []struct {
		want     *wire.DocumentWant
		position int64
		data     string
		stamp    int64
	}{
		{&wire.DocumentWant{Stamp: 5, Version: 6, Position: 4}, 4, "seven", 5},
		{&wire.DocumentWant{Stamp: 5, Version: 7, Position: 4}, 9, "", 5},
		{&wire.DocumentWant{Stamp: 5, Version: 6, Position: 4}, 3, "seven", 0},
	} {
		m := d.documentFor(c.want, c.position)
		require.Equal(t, int64(7), m.Version)
		require.Equal(t, c.data, string(m.Data))
		require.Equal(t, c.stamp, m.Stamp)
	}
}

func TestFailedReadIsNotTaken(t *testing.T) {
	d := newTestDaemon(nil)
	d.documentRead(nil, 9, []byte("nine"), 3, errors.New("refused"))
	require.Zero(t, d.doc.Version())
	d.documentRead(nil, 9, []byte("nine"), 3, nil)
	require.Equal(t, int64(9), d.doc.Version())
}
