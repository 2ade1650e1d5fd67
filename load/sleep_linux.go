package load

import (
	"syscall"
	"time"
)

// shortSleep is the longest time that is slept in the kernel. The runtime rounds
// its own short sleeps up to a millisecond, which would bunch the arrivals.
const shortSleep = 2 * time.Millisecond

// sleep waits with a resolution well below a millisecond.
func sleep(d time.Duration) {
	if d > shortSleep {
		time.Sleep(d - shortSleep)
		return
	}
	interval := syscall.NsecToTimespec(d.Nanoseconds())
	// An interrupted sleep ends early; the caller looks at the clock again.
	_ = syscall.Nanosleep(&interval, nil)
}
