package ended

// Outcome is the outcome of a job, with the values of the field outcome in the public API.
type Outcome string

const (
	// Complete means that every task returned its result.
	Complete Outcome = "complete"
	// Failed means that the job ended without a complete answer.
	Failed Outcome = "failed"
	// Refused means that no task of the job was run.
	Refused Outcome = "refused"
	// Unknown means that the job may have run and its answer is lost.
	Unknown Outcome = "unknown"
)

// Sentence describes the outcome for operators, for use after a number of jobs.
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
