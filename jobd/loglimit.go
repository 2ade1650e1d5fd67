package jobd

import (
	"time"

	"github.com/rs/zerolog"
)

// maxTaskLogLinesPerSecond limits the log lines about single tasks, so that the volume of
// the logs does not grow with the load.
const maxTaskLogLinesPerSecond = 600

// repeatedAttempt is the number of an attempt from which on its lines have a limit of their
// own, so that the many lines about first attempts don't displace them.
const repeatedAttempt = 3

// logLimiter limits the rate of log lines and reports how many were dropped.
type logLimiter struct {
	windowStart time.Duration
	used        int
}

// allow reports whether one more line may be written. It logs the number of lines that
// were dropped in the previous window.
func (l *logLimiter) allow(now time.Duration, log *zerolog.Logger) bool {
	if now-l.windowStart >= time.Second {
		if dropped := l.used - maxTaskLogLinesPerSecond; dropped > 0 {
			log.Warn().Int("lines", dropped).Msg("log lines about tasks were dropped")
		}
		l.windowStart, l.used = now, 0
	}
	l.used++
	return l.used <= maxTaskLogLinesPerSecond
}
