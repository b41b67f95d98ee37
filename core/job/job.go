package job

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"persimmonstage/core/jobkey"
	"persimmonstage/core/task"
)

// DigestBytes is the length of a digest.
const DigestBytes = 16

// Job is a submission; it is not modified after decoding.
type Job struct {
	Key      jobkey.Key
	Kind     string
	Issued   time.Time
	Deadline time.Time
	Tasks    []task.Task
	// DataCentre is that of the entry that received the submission; it is not part of the content.
	DataCentre string

	digest [DigestBytes]byte
	cached bool
}

// PayloadBytes returns the size of all payloads.
func (j *Job) PayloadBytes() int64 {
	n := 0
	for i := range j.Tasks {
		n += len(j.Tasks[i].Payload)
	}
	return int64(n)
}

// CacheDigest computes the digest once, so that Digest costs nothing on the owner's goroutine; the content must not change
// afterwards.
func (j *Job) CacheDigest() {
	j.digest = j.Digest()
	j.cached = true
}

// Digest returns a hash of everything that the caller sent except the key.
//
// It includes the time of issue: after a takeover, a resubmission with a new time of issue could be taken for a job that was
// never accepted, so it counts as different content.
func (j *Job) Digest() [DigestBytes]byte {
	if j.cached {
		return j.digest
	}
	h := sha256.New()
	var num [8]byte
	put := func(n int64) {
		binary.BigEndian.PutUint64(num[:], uint64(n))
		h.Write(num[:])
	}
	put(int64(len(j.Kind)))
	h.Write([]byte(j.Kind))
	put(j.Issued.UnixNano())
	put(j.Deadline.UnixNano())
	for i := range j.Tasks {
		t := &j.Tasks[i]
		put(int64(t.Needs.Slots))
		put(int64(t.Needs.Cores))
		put(int64(t.Needs.MemoryMB))
		put(int64(t.Needs.Accelerators))
		put(int64(len(t.Payload)))
		h.Write(t.Payload)
	}
	var d [DigestBytes]byte
	copy(d[:], h.Sum(nil))
	return d
}
