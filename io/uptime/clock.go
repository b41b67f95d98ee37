package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted as a Time without a monotonic reading; it is comparable only on the same host.
//
// Go's own monotonic clock stops while a host is suspended, so a lease checked against it could outlive its term.
func Now() time.Time {
	return time.Unix(0, Stamp())
}

// Stamp returns the same instant in nanoseconds, for messages whose answers echo it.
func Stamp() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("uptime: " + err.Error())
	}
	return ts.Nano()
}
