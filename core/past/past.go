package past

import (
	"persimmonstage/core/ident"
	"persimmonstage/core/job"
)

// Start is one start as an agent's ledger tells it to a new owner; what became of it is asked for when it is needed.
type Start struct {
	Agent  ident.Ident
	Index  int
	Digest [job.DigestBytes]byte
}
