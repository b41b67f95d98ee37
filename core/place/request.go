package place

import (
	"time"

	"persimmonstage/core/needs"
	"persimmonstage/core/rank"
	"persimmonstage/core/target"
)

// Task describes one task to place: its needs and the run time declared by its caller or kind.
type Task struct {
	Needs    needs.Vector
	Declared time.Duration
}

// Request asks for the placement of a job, whose tasks are of one kind and come from a caller in one data centre.
type Request struct {
	Team         string
	TeamFraction float64 // share of a target, 0 to 1, that the team gets among the teams that have work now; zero is unknown
	Kind         string
	DataCentre   string
	Avoid        target.ID     // the target that refused the tasks because of the wait; zero is none
	Attempt      int           // number of refusals of the tasks because of the wait, at most LastAttempt
	Deadline     time.Time     // zero is none
	Delay        time.Duration // Choice.Delay of the job's first placement, for tasks that are placed again
	Tasks        []Task
}

// maxReserve is the largest number of reservations of one task.
const maxReserve = 4

// Choice is the placement of one task; the zero value means that it has to wait, as no target can get it now.
type Choice struct {
	id       target.ID
	reserved [maxReserve]target.ID
	reserves int
	work     time.Duration
	wait     time.Duration
	maxWait  time.Duration
	delay    time.Duration
}

// Target returns the target at which the task is booked: the one to start at, or the first to reserve at; zero means wait.
func (c *Choice) Target() target.ID { return c.id }

// Reserve returns the targets to reserve at, or none if the task is to be started at Target.
func (c *Choice) Reserve() []target.ID { return c.reserved[:c.reserves] }

// Work returns the expected run time at Target, which must also be passed when the booking at the roster is ended.
func (c *Choice) Work() time.Duration { return c.work }

// Wait returns the expected time until the task can start at Target.
func (c *Choice) Wait() time.Duration { return c.wait }

// MaxWait returns the longest wait that the task accepts at Target: an agent that expects a longer one refuses the task
// before it starts, so that it is placed again.
func (c *Choice) MaxWait() time.Duration { return c.maxWait }

// Delay returns the time that the agent adds to the arrival time when it orders the tasks of a share in its queue, so that
// small jobs go before large ones; zero unless the Placer delays large jobs.
func (c *Choice) Delay() time.Duration { return c.delay }

// Class returns the class under which the task is booked at the roster, which depends on Delay.
func (c *Choice) Class() rank.Class { return rank.Of(c.delay) }

// Waits reports whether the task has to wait for a target.
func (c *Choice) Waits() bool { return c.id == 0 }
