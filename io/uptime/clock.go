package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now gives the time since the host's start as a Time without a monotonic reading; it is comparable only within a host.
//
// Go's own monotonic reading stands still while a host is suspended, so a lease judged by it could outlive its term.
func Now() time.Time {
	return time.Unix(0, Stamp())
}

// Stamp gives the same instant in nanoseconds, for messages that return it.
func Stamp() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("uptime: " + err.Error())
	}
	return ts.Nano()
}
