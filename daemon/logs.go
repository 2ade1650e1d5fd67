package daemon

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// logBuffer is the number of log lines that wait for a slow reader; more are
	// dropped and counted.
	logBuffer = 4096
	logPoll   = 20 * time.Millisecond
)

// Stdout returns a writer to standard output that never blocks. A line tells how
// many were dropped.
func Stdout() io.Writer {
	return diode.NewWriter(os.Stdout, logBuffer, logPoll, func(missed int) {
		_, _ = os.Stdout.WriteString(droppedLine(missed))
	})
}

func droppedLine(missed int) string {
	return fmt.Sprintf(`{"level":"warn","dropped":%d,"message":"log lines were dropped"}`+"\n", missed)
}
