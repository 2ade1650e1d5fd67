package delivery

import "time"

const (
	// slowestClockRate bounds the rate of a carrier's clock relative to the leader's.
	slowestClockRate = 0.97
	// clockMaxAge is the age from which on a reading is replaced. The orders of an older
	// one would expire early, by what the rates may differ.
	clockMaxAge = time.Second
)

// carrierClock is the latest reading of a carrier's clock.
type carrierClock struct {
	// reading is in milliseconds, 0 from a carrier without a clock.
	reading int64
	// readAt is when the reading arrived, by the leader's boot clock.
	readAt time.Duration
	known  bool
}

func (c *carrierClock) fresh(now time.Duration) bool { return c.known && now-c.readAt < clockMaxAge }

// expiry returns the reading of the carrier's clock before which orders must be sent, or
// 0 if there is no limit. It is never later than leaseEnd on the leader's boot clock.
func (c *carrierClock) expiry(now, leaseEnd time.Duration) int64 {
	if c.reading == 0 {
		return 0
	}
	elapsed := float64((now - c.readAt).Milliseconds()) * slowestClockRate
	left := float64((leaseEnd - now).Milliseconds()) * slowestClockRate
	return c.reading + int64(elapsed+left)
}
