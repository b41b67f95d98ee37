package codec

import (
	"time"

	"persimmonstage/core/job"
	"persimmonstage/core/jobkey"
	"persimmonstage/core/task"
	"persimmonstage/io/wire"
)

// EncodeJob returns the protobuf form of a job.
func EncodeJob(j *job.Job) *wire.Job {
	w := &wire.Job{
		Team: j.Key.Team, Id: j.Key.ID, Kind: j.Kind, DataCentre: j.DataCentre,
		IssuedNs: j.Issued.UnixNano(), DeadlineNs: j.Deadline.UnixNano(), Tasks: make([]*wire.JobTask, len(j.Tasks)),
	}
	for i := range j.Tasks {
		w.Tasks[i] = &wire.JobTask{Payload: j.Tasks[i].Payload, Needs: EncodeNeeds(j.Tasks[i].Needs)}
	}
	return w
}

// DecodeJob returns the job of its protobuf form.
func DecodeJob(w *wire.Job) *job.Job {
	j := &job.Job{
		Key: jobkey.Key{Team: w.Team, ID: w.Id}, Kind: w.Kind, DataCentre: w.DataCentre,
		Issued: time.Unix(0, w.IssuedNs), Deadline: time.Unix(0, w.DeadlineNs), Tasks: make([]task.Task, len(w.Tasks)),
	}
	for i, t := range w.Tasks {
		j.Tasks[i] = task.Task{Payload: t.Payload, Needs: DecodeNeeds(t.Needs)}
	}
	return j
}
