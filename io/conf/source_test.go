package conf

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"persimmonstage/core/fold"
	"persimmonstage/core/vers"
)

func TestAcceptedVersionIsInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 5, Options{})
		v, err := c.publish(0, 0, "a = 1")
		require.NoError(t, err)
		c.requireEverywhere(v)
		_, r := c.agents[4].Current()
		require.Equal(t, "a = 1\n", string(r.Document().TOML()))
	})
}

func TestConcurrentPublications(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, Options{})
		base, err := c.publish(0, 0, "a = 1\nb = 1")
		require.NoError(t, err)
		time.Sleep(time.Second)
		type result struct {
			version int64
			err     error
		}
		results := make(chan result, 2)
		for entry, text := range map[int]string{1: "a = 2\nb = 1", 2: "a = 1\nb = 2"} {
			go func() {
				v, err := c.publish(entry, base, text)
				results <- result{v, err}
			}()
		}
		won, lost := <-results, <-results
		if won.err != nil {
			won, lost = lost, won
		}
		require.NoError(t, won.err)
		var conflict *vers.ConflictError
		require.True(t, errors.As(lost.err, &conflict), "%v", lost.err)
		require.Equal(t, won.version, conflict.Current())
		require.Len(t, conflict.Changed(), 1)
		c.requireEverywhere(won.version)
	})
}

func TestDisconnectedEntryUpdatesFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 2, Options{})
		v, err := c.publish(0, 0, "a = 1")
		require.NoError(t, err)
		c.requireEverywhere(v)
		c.links[2].setCut(true)
		time.Sleep(pollWait) // lets the running poll end
		v, err = c.publish(0, v, "a = 2")
		require.NoError(t, err)
		c.requireEverywhere(v)

		_, err = c.publish(2, v, "a = 3")
		var unavailable *UnavailableError
		require.True(t, errors.As(err, &unavailable), "%v", err)
		require.False(t, unavailable.MaybePublished(), "an entry in an outage appends nothing")
	})
}

func TestRecordWithLostResponseIsAppliedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, 0, Options{})
		c.log.set(func() { c.log.lose = 1 })
		v, err := c.publish(0, 0, "a = 1")
		require.NoError(t, err)
		require.EqualValues(t, 1, v)
		again, err := c.publish(0, 0, "a = 1") // the same id, as after a lost response
		require.NoError(t, err)
		require.Equal(t, v, again)
		c.requireEverywhere(v)
		require.Len(t, c.log.records, 1)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		doc, err := fold.Parse("", []byte("a = 9"))
		require.NoError(t, err)
		_, err = c.all[0].Publish(ctx, "0/0/a = 1", v, "ana", doc)
		var reused *ReusedError
		require.True(t, errors.As(err, &reused), "%v", err)
	})
}

func TestOutageKeepsTheVersionAndRestartsLearnFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, 2, Options{})
		v, err := c.publish(0, 0, "a = 1")
		require.NoError(t, err)
		c.requireEverywhere(v)
		c.log.set(func() { c.log.down = true })

		ctx, cancel := context.WithCancel(t.Context())
		restarted := New(Options{Log: c.links[1], Peers: c.peers, Self: "entry-1"})
		done := make(chan struct{})
		go func() {
			defer close(done)
			restarted.Run(ctx)
		}()
		defer func() {
			cancel()
			<-done
		}()
		require.False(t, restarted.Ready())
		time.Sleep(propagationBound)
		synctest.Wait()
		require.True(t, restarted.Ready())
		require.True(t, restarted.Outage())

		asked := time.Now()
		_, err = c.publish(0, v, "a = 2")
		var unavailable *UnavailableError
		require.True(t, errors.As(err, &unavailable), "%v", err)
		require.False(t, unavailable.MaybePublished())
		require.ErrorIs(t, err, errLogDown)
		require.LessOrEqual(t, time.Since(asked), outageTimeout)

		c.log.set(func() { c.log.down = false })
		v, err = c.publish(0, v, "a = 3")
		require.NoError(t, err)
		c.requireEverywhere(v)
		got, _ := restarted.Current()
		require.Equal(t, v, got)
	})
}

func TestSnapshotsKeepStateBeyondRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const retained = 10
		c := newCluster(t, 3, 0, Options{RetainCount: retained, RetainAge: time.Hour})
		v := int64(0)
		for i := range 30 {
			next, err := c.publish(i%3, v, string(rune('a'+i%5))+" = "+time.Duration(i).String()[:1])
			require.NoError(t, err)
			v = next
			time.Sleep(2 * snapshotSpread)
			c.log.set(func() { c.log.first = max(1, int64(len(c.log.records))+1-retained) })
		}
		c.requireEverywhere(v)
		snapshots := len(c.log.records) - 30
		require.LessOrEqual(t, snapshots, 2*30/(retained/2))

		time.Sleep(40 * time.Minute) // without publications the age limit would drop all records
		synctest.Wait()
		c.log.set(func() { c.log.first = int64(len(c.log.records)) })
		ctx, cancel := context.WithCancel(t.Context())
		fresh := New(Options{Log: c.log})
		done := make(chan struct{})
		go func() {
			defer close(done)
			fresh.Run(ctx)
		}()
		time.Sleep(propagationBound)
		synctest.Wait()
		got, r := fresh.Current()
		cancel()
		<-done
		require.Equal(t, v, got)
		_, want := c.all[0].Current()
		require.Equal(t, want.Document().Sum(), r.Document().Sum())
	})
}

func TestStalledReaderCatchesUpAfterRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, Options{RetainCount: 6})
		v, err := c.publish(0, 0, "a = 0")
		require.NoError(t, err)
		c.requireEverywhere(v)
		c.links[2].setCut(true)
		kept := c.peers.sources
		c.peers.mu.Lock()
		c.peers.sources = nil // no log and no peers, like a stopped process
		c.peers.mu.Unlock()
		for i := range 20 {
			v, err = c.publish(i%2, v, "a = 1"+time.Duration(i).String()[:1])
			if errors.HasType(err, (*vers.ConflictError)(nil)) {
				t.Fatal(err)
			}
			time.Sleep(2 * snapshotSpread)
			c.log.set(func() { c.log.first = max(1, int64(len(c.log.records))-5) })
		}
		stale, _ := c.all[2].Current()
		require.Less(t, stale, v)
		c.peers.mu.Lock()
		c.peers.sources = kept[:2]
		c.peers.mu.Unlock()
		c.links[2].setCut(false)
		c.requireEverywhere(v)
	})
}

func TestCachedUpdatesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 0, Options{})
		v := int64(0)
		for range 3 {
			next, err := c.publish(0, v, "a = "+time.Duration(v).String()[:1])
			require.NoError(t, err)
			v = next
		}
		for version := range int64(1000) {
			c.all[0].Since(-version)
		}
		require.LessOrEqual(t, len(c.all[0].updates), maxUpdates)
		require.NotEmpty(t, c.all[0].Since(1))
	})
}

func TestSnapshotsAreWrittenWithDefaultRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 0, Options{})
		_, err := c.publish(0, 0, "a = 1")
		require.NoError(t, err)
		time.Sleep(defaultRetainAge/2 + time.Hour)
		synctest.Wait()
		c.log.mu.Lock()
		defer c.log.mu.Unlock()
		require.Len(t, c.log.records, 2)
	})
}
