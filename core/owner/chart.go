package owner

import (
	_ "embed"

	"persimmonstage/core/chart"
)

//go:embed task.chart.toml
var taskChartFile []byte

//go:embed job.chart.toml
var jobChartFile []byte

// Actions of the charts.
const (
	sendReserves    = "send-reserves"
	sendStart       = "send-start"
	withdrawOthers  = "withdraw-others"
	withdrawStart   = "withdraw-start"
	unbook          = "unbook"
	tryLater        = "try-later"
	countEnd        = "count-end"
	answerComplete  = "answer-complete"
	answerFailed    = "answer-failed"
	answerLost      = "answer-lost"
	answerLate      = "answer-late"
	answerUncertain = "answer-uncertain"
	answerCancelled = "answer-cancelled"
	cancelRest      = "cancel-rest"
	release         = "release"
)

var (
	taskChart = load(taskChartFile, sendReserves, sendStart, withdrawOthers, withdrawStart, unbook, tryLater, countEnd)
	jobChart  = load(jobChartFile, answerComplete, answerFailed, answerLost, answerLate, answerUncertain, answerCancelled,
		cancelRest, release)

	stateWaiting     = state(taskChart, "waiting")
	stateReserving   = state(taskChart, "reserving")
	stateStartSent   = state(taskChart, "start-sent")
	stateWithdrawing = state(taskChart, "withdrawing")
	stateDone        = state(taskChart, "done")
	stateNotRun      = state(taskChart, "not-run")

	onReserve   = event(taskChart, "reserve")
	onStart     = event(taskChart, "start")
	onGranted   = event(taskChart, "granted")
	onRefused   = event(taskChart, "refused")
	onSucceeded = event(taskChart, "succeeded")
	onBroke     = event(taskChart, "broke")
	onVanished  = event(taskChart, "vanished")
	onCancel    = event(taskChart, "cancel")

	stateRunning    = state(jobChart, "running")
	stateCancelling = state(jobChart, "cancelling")

	onAllDone    = event(jobChart, "all-done")
	onTaskFailed = event(jobChart, "task-failed")
	onTaskLost   = event(jobChart, "task-lost")
	onDeadline   = event(jobChart, "deadline")
	onUnsure     = event(jobChart, "unsure")
	onCancelJob  = event(jobChart, "cancel")
	onAllEnded   = event(jobChart, "all-ended")
)

// notRun reports whether a task in state certainly never started.
func notRun(state int) bool {
	return state == stateWaiting || state == stateReserving || state == stateNotRun
}

func load(file []byte, actions ...string) *chart.Chart {
	c, err := chart.Load(file, actions...)
	if err != nil {
		panic(err)
	}
	return c
}

func state(c *chart.Chart, name string) int {
	id := c.StateID(name)
	if id < 0 {
		panic("chart " + c.Name() + " has no state " + name)
	}
	return id
}

func event(c *chart.Chart, name string) int {
	id := c.EventID(name)
	if id < 0 {
		panic("chart " + c.Name() + " has no event " + name)
	}
	return id
}
