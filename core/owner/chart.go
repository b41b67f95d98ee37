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
	retryLater      = "retry-later"
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
	taskChart = chart.MustLoad(taskChartFile, sendReserves, sendStart, withdrawOthers, withdrawStart, unbook, retryLater, countEnd)
	jobChart  = chart.MustLoad(jobChartFile, answerComplete, answerFailed, answerLost, answerLate, answerUncertain, answerCancelled,
		cancelRest, release)

	stateWaiting     = taskChart.MustState("waiting")
	stateReserving   = taskChart.MustState("reserving")
	stateStartSent   = taskChart.MustState("start-sent")
	stateWithdrawing = taskChart.MustState("withdrawing")
	stateDone        = taskChart.MustState("done")
	stateNotRun      = taskChart.MustState("not-run")

	onReserve    = taskChart.MustEvent("reserve")
	onStart      = taskChart.MustEvent("start")
	onGranted    = taskChart.MustEvent("granted")
	onRefused    = taskChart.MustEvent("refused")
	onSucceeded  = taskChart.MustEvent("succeeded")
	onFailed     = taskChart.MustEvent("failed")
	onTargetLost = taskChart.MustEvent("target-lost")
	onCancel     = taskChart.MustEvent("cancel")

	stateRunning    = jobChart.MustState("running")
	stateCancelling = jobChart.MustState("cancelling")

	onAllDone    = jobChart.MustEvent("all-done")
	onTaskFailed = jobChart.MustEvent("task-failed")
	onTaskLost   = jobChart.MustEvent("task-lost")
	onDeadline   = jobChart.MustEvent("deadline")
	onUnsure     = jobChart.MustEvent("unsure")
	onCancelJob  = jobChart.MustEvent("cancel")
	onAllEnded   = jobChart.MustEvent("all-ended")
)

// notRun reports whether a task in this state has certainly not started.
func notRun(state int) bool {
	return state == stateWaiting || state == stateReserving || state == stateNotRun
}
