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
