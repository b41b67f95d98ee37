package past

import "persimmonstage/core/job"

// Past is one start as an agent's ledger tells it to a new owner; what became of it is asked for when it is needed.
type Past struct {
	Agent  string
	Index  int
	Digest [job.DigestBytes]byte
}
