// Package cancel collects the cancellations of attempts that have not started, so that a wave of them goes to each
// agent in few messages.
package cancel
