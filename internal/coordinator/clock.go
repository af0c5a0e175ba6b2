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

// wakefulNow converts the present time of Go's clock, which stands still while the machine is suspended, to one that runs on, so that a
// gap in what this process has seen is noticed.
func (c *Coordinator) wakefulNow(now time.Time) time.Time {
	c.observeSuspension()
	return c.suspensions.Now(now)
}

// wakefulPast converts a past time of Go's clock.
func (c *Coordinator) wakefulPast(t time.Time) time.Time {
	c.observeSuspension()
	return c.suspensions.Past(t)
}

func (c *Coordinator) observeSuspension() {
	now := time.Now()
	c.suspensions.Observe(bootTime()-c.bootAtStart-now.Sub(c.startedAt), now)
}
