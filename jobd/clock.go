package jobd

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock is a monotonic clock that also counts the time for which the machine
// was suspended, so that a lease does not outlast a suspension.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("the kernel has no boot clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
