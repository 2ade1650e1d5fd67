package jobd

import (
	"time"

	"github.com/rs/zerolog"
)

// maxLines bounds the lines about single tasks in a second, so that the volume of
// logs does not grow with the load.
const maxLines = 600

// lineLimit counts lines and tells how many were left out.
type lineLimit struct {
	began time.Duration
	used  int
}

// allow reports whether one more line may be written.
func (l *lineLimit) allow(now time.Duration, log *zerolog.Logger) bool {
	if now-l.began >= time.Second {
		if left := l.used - maxLines; left > 0 {
			log.Warn().Int("lines", left).Msg("lines about tasks were left out")
		}
		l.began, l.used = now, 0
	}
	l.used++
	return l.used <= maxLines
}
