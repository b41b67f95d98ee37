package bound

import "flag"

// The properties draw the same cases on every run; -rapid.seed on the command line draws others.
func init() {
	_ = flag.Set("rapid.seed", "1")
}
