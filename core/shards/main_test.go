package shards_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain seeds rapid, so that every run checks the same cases unless the command line sets another seed.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
