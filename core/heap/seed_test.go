package heap

import "flag"

// Property tests draw the same cases on every run; pass -rapid.seed to draw others.
func init() {
	_ = flag.Set("rapid.seed", "1")
}
