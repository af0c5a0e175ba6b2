package coordinator

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime is a steady clock that goes on while the machine is suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every kernel that Go supports has this clock.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
