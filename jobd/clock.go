package jobd

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock is a monotonic clock that also advances while the machine is suspended, so
// that a lease expires during a suspension.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
