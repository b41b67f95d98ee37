package faults

import (
	"strings"
	"testing"
	"time"

	"persimmonstage/test/fleet"
)

func awaitMetric(f *fleet.Fleet, entry, line string) {
	f.Await(entry+" shows "+line, func() bool {
		_, body, err := f.Client(entry).Do("GET", "/metrics", nil, time.Now().Add(2*time.Second))
		return err == nil && strings.Contains(string(body), "\n"+line+"\n")
	})
}

// The metrics of an entry must show the start and the end of a log outage, also if the entry starts during the outage.
func TestLogOutageIsInTheMetrics(t *testing.T) {
	f := fleet.New(t, 1, 1)
	awaitMetric(f, "entry-1", "persimmonstage_entry_log_up 1")
	f.LogFaults(`{"down": true}`)
	awaitMetric(f, "entry-1", "persimmonstage_entry_log_up 0")
	f.Kill("entry-1")
	f.Restart("entry-1")
	awaitMetric(f, "entry-1", "persimmonstage_entry_log_up 0")
	f.LogFaults(`{"down": false}`)
	awaitMetric(f, "entry-1", "persimmonstage_entry_log_up 1")
}
