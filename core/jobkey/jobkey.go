package jobkey

// Key identifies a submission; equal keys are the same submission, whichever entry receives it.
type Key struct {
	Team string
	ID   string
}

// String returns the key as team/id, the form that is hashed to a shard.
func (k Key) String() string {
	return k.Team + "/" + k.ID
}
