package ended

// Outcome is how a job ended, as the field outcome of the public API has it.
type Outcome string

const (
	// Complete means that every task gave its result.
	Complete Outcome = "complete"
	// Failed means that the job ended without a whole answer.
	Failed Outcome = "failed"
	// Refused means that nothing of the job was run.
	Refused Outcome = "refused"
	// Unknown means that the job may have run and its answer is lost.
	Unknown Outcome = "unknown"
)

// Sentence names the outcome of n jobs in plain words.
func (o Outcome) Sentence() string {
	switch o {
	case Complete:
		return "answered late"
	case Failed:
		return "failed"
	case Refused:
		return "refused, not run"
	default:
		return "answer unknown, may have run"
	}
}
