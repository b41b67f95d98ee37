package past

import "persimmonstage/core/job"

// Past is one start as an agent's ledger tells it to a new owner.
type Past struct {
	Agent  string
	Index  int
	Digest [job.DigestBytes]byte
	Ended  bool
	OK     bool
	Output []byte
	// Dropped tells that the ledger kept the fact of the start but not its output.
	Dropped bool
	Reason  string
}
