package coordinator

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time of a monotonic clock that keeps running while the machine is suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// All kernels that Go supports have this clock.
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// wakefulTime converts a time of Go's clock, which stands still while the machine is suspended, to one that runs on, so that a gap in
// what this process has seen is noticed.
func (c *Coordinator) wakefulTime(t time.Time) time.Time {
	suspended := bootTime() - c.bootAtStart - time.Since(c.startedAt)
	return t.Add(suspended)
}
