package jobd

import (
	"time"

	"github.com/rs/zerolog"
)

const (
	// maxTaskLogLinesPerSecond limits the log lines about single tasks in any interval of
	// logWindow, so that the volume of the logs does not grow with the load.
	maxTaskLogLinesPerSecond = 600
	logWindow                = time.Second
)

// repeatedAttempt is the number of an attempt from which on its lines have a limit of their
// own, so that the many lines about first attempts don't displace them.
const repeatedAttempt = 3

// logLimiter limits the rate of log lines and reports how many were dropped.
type logLimiter struct {
	// written holds the times of the last lines in a ring, of which next is the oldest one.
	written []time.Duration
	next    int
	// dropped counts the lines that were dropped since droppedSince.
	dropped      int
	droppedSince time.Duration
}

// allow reports whether one more line may be written. It logs the number of lines that were
// dropped once per logWindow.
func (l *logLimiter) allow(now time.Duration, log *zerolog.Logger) bool {
	if l.dropped > 0 && now-l.droppedSince >= logWindow {
		log.Warn().Int("lines", l.dropped).Msg("log lines about tasks were dropped")
		l.dropped = 0
	}
	if len(l.written) < maxTaskLogLinesPerSecond {
		l.written = append(l.written, now)
		return true
	}
	if now-l.written[l.next] < logWindow {
		if l.dropped == 0 {
			l.droppedSince = now
		}
		l.dropped++
		return false
	}
	l.written[l.next] = now
	l.next = (l.next + 1) % len(l.written)
	return true
}
