package prior

import (
	"persimmonstage/core/ident"
	"persimmonstage/core/job"
)

// Start is a start that an agent's ledger reports to a new owner; its result is requested only when needed.
type Start struct {
	Agent  ident.Ident
	Index  int
	Digest [job.DigestBytes]byte
}
