package place

import (
	"time"

	"persimmonstage/core/needs"
	"persimmonstage/core/rank"
	"persimmonstage/core/target"
)

// Task is what placement knows of one task: what it takes and the run time that its caller or kind declares.
type Task struct {
	Needs    needs.Vector
	Declared time.Duration
}

// Request is a job to place: its tasks are all of one kind and come from a caller in one data centre.
type Request struct {
	Team         string
	TeamFraction float64 // of a target, 0 to 1, that the team gets beside those that have work now; zero is unknown
	Kind         string
	DataCentre   string
	Avoid        target.ID     // the target that refused the tasks because of the wait; zero is none
	Attempt      int           // how often the tasks were refused because of the wait, at most LastAttempt
	Deadline     time.Time     // zero is none
	Delay        time.Duration // of the job's first placement, for tasks of it that are placed again
	Tasks        []Task
}

// maxReserve is the most reservations that one task gets.
const maxReserve = 4

// Choice is where one task goes; the zero value means that it has to wait, as no target may get it now.
type Choice struct {
	id       target.ID
	reserved [maxReserve]target.ID
	reserves int
	work     time.Duration
	wait     time.Duration
	maxWait  time.Duration
	delay    time.Duration
}

// Target returns where the task is booked: the target to start at, or the first of those to reserve at; zero is wait.
func (c *Choice) Target() target.ID { return c.id }

// Reserve returns the targets to reserve at, or nothing if the task is to be started at Target.
func (c *Choice) Reserve() []target.ID { return c.reserved[:c.reserves] }

// Work returns the expected run time at Target; it is what the booking at the roster has to be ended with.
func (c *Choice) Work() time.Duration { return c.work }

// Wait returns the expected time until the task can start at Target.
func (c *Choice) Wait() time.Duration { return c.wait }

// MaxWait returns the longest wait for which the task should stay at Target: an agent that expects a longer one refuses
// it at once, before any start, so that it is placed again.
func (c *Choice) MaxWait() time.Duration { return c.maxWait }

// Delay returns by how much later than its arrival the task takes its place among those of its share in the agent's
// queue, so that small jobs go before large ones; zero unless the Placer delays large jobs.
func (c *Choice) Delay() time.Duration { return c.delay }

// Class returns the class that the task is booked under at the roster; it follows from Delay.
func (c *Choice) Class() rank.Class { return rank.Of(c.delay) }

// Waits reports whether the task has to wait for a target.
func (c *Choice) Waits() bool { return c.id == 0 }
