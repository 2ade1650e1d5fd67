package jobd

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch"
)

// Guards against logs whose volume grows with the load, and against lines that are
// dropped without a record of it.
func TestLogLimiter(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	log := zerolog.New(&out)
	var l logLimiter
	written := 0
	for range 2 * maxTaskLogLinesPerSecond {
		if l.allow(10*time.Second, &log) {
			written++
		}
	}
	g.Expect(written).To(Equal(maxTaskLogLinesPerSecond))
	g.Expect(l.allow(11*time.Second, &log)).To(BeTrue())
	g.Expect(out.String()).To(ContainSubstring(`"lines":600`))
}

// Guards against twice the lines within a second around the border of two fixed windows.
func TestLogLimiterSlides(t *testing.T) {
	g := NewWithT(t)
	log := zerolog.Nop()
	var l logLimiter
	var written []time.Duration
	for now := 100 * time.Millisecond; now < 5*time.Second; now += 800 * time.Microsecond {
		if l.allow(now, &log) {
			written = append(written, now)
		}
	}
	for i := maxTaskLogLinesPerSecond; i < len(written); i++ {
		g.Expect(written[i] - written[i-maxTaskLogLinesPerSecond]).To(BeNumerically(">=", time.Second))
	}
	g.Expect(len(written)).To(BeNumerically(">", 4*maxTaskLogLinesPerSecond))
}

// Guards against tasks that are bound again and again, or whose check has failed, without a
// line in the log.
func TestLogKeepsLinesOfRepeatedAttempts(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	m := manager{log: zerolog.New(&out), now: func() time.Duration { return 10 * time.Second }}
	key := jobs.TaskKey{Job: "j"}
	for range 2 * maxTaskLogLinesPerSecond {
		m.logEvent(&dispatch.LogEvent{Event: "starting task", Task: key, Attempt: repeatedAttempt - 1})
	}
	g.Expect(strings.Count(out.String(), "starting task")).To(Equal(maxTaskLogLinesPerSecond))
	out.Reset()
	for range 2 * maxTaskLogLinesPerSecond {
		m.logEvent(&dispatch.LogEvent{Event: "starting again", Task: key, Attempt: repeatedAttempt})
	}
	g.Expect(strings.Count(out.String(), "starting again")).To(Equal(maxTaskLogLinesPerSecond))
	out.Reset()
	for range 2 * maxTaskLogLinesPerSecond {
		m.logEvent(&dispatch.LogEvent{Event: "decision", Task: key, Attempt: 1, Trace: true})
	}
	g.Expect(strings.Count(out.String(), "decision")).To(Equal(2 * maxTaskLogLinesPerSecond))
}
