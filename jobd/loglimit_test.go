package jobd

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
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
