package series_test

import "flag"

// The seed is fixed, so that every run has the same result; -rapid.seed still overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
