package daemon

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// output collects what is written to it and can be slow, stuck or closed.
type output struct {
	mu      sync.Mutex
	written bytes.Buffer
	delay   time.Duration
	stuck   chan struct{}
	err     error
}

func (o *output) Write(p []byte) (int, error) {
	time.Sleep(o.delay)
	if o.stuck != nil {
		<-o.stuck
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil {
		return 0, o.err
	}
	return o.written.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.String()
}

// Guards against lines that wait in the process for a timer and are lost with it.
func TestLogLinesAreHandedOverAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		out := &output{}
		w := newLogWriter(out)
		for i := range 3 {
			start := time.Now()
			fmt.Fprintf(w, "line %d\n", i)
			synctest.Wait()
			g.Expect(out.String()).To(HaveSuffix(fmt.Sprintf("line %d\n", i)))
			g.Expect(time.Since(start)).To(BeZero())
			fmt.Fprintln(w, "another")
			time.Sleep(logInterval)
			synctest.Wait()
			g.Expect(out.String()).To(HaveSuffix("another\n"))
			time.Sleep(logInterval)
		}
		fmt.Fprintln(w, "before the end")
		fmt.Fprintln(w, "at the end")
		start := time.Now()
		w.close(nil)
		g.Expect(out.String()).To(HaveSuffix("at the end\n"))
		g.Expect(time.Since(start)).To(BeZero())
	})
}

// Guards against the loss of the line that says what ended the process.
func TestLastLogLineIsWrittenToASlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		out := &output{delay: 20 * time.Millisecond}
		w := newLogWriter(out)
		for range 5000 {
			fmt.Fprintln(w, strings.Repeat("x", 99))
		}
		start := time.Now()
		w.close([]byte("the end\n"))
		g.Expect(time.Since(start)).To(BeNumerically("<=", backlogTimeout+lastLineTimeout))
		g.Expect(out.String()).To(MatchRegexp(`x\n{"level":"warn","dropped":\d+,"message":"log lines were dropped"}\nthe end\n$`))
		fmt.Fprintln(w, "after the end")
		synctest.Wait()
		g.Expect(out.String()).To(HaveSuffix("the end\n"))
	})
}

// Guards against logs that block the process, or keep it from ending, when nobody reads them.
func TestLogsDoNotBlockWhenTheReaderIsStuck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		out := &output{stuck: make(chan struct{})}
		w := newLogWriter(out)
		start := time.Now()
		for range 30_000 {
			fmt.Fprintln(w, strings.Repeat("x", 99))
		}
		g.Expect(time.Since(start)).To(BeZero())
		g.Expect(len(w.pending)).To(BeNumerically("<=", logBufferBytes))
		w.close([]byte("the end\n"))
		g.Expect(time.Since(start)).To(Equal(backlogTimeout + lastLineTimeout))
		close(out.stuck)
		synctest.Wait()
		g.Expect(out.String()).To(HaveSuffix("the end\n"))
	})
}

// Guards against lines that are torn where others write to the same pipe, and against
// lost lines that nobody counts.
func TestLogLinesStayWholeAndAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		out := &output{}
		w := newLogWriter(out)
		var lines strings.Builder
		for i := range 200 {
			fmt.Fprintln(&lines, strings.Repeat("x", i))
		}
		fmt.Fprintln(&lines, strings.Repeat("y", 3*logChunkBytes))
		rest := []byte(lines.String())
		for len(rest) > 0 {
			chunk := rest[:chunkLength(rest)]
			g.Expect(chunk).To(HaveSuffix("\n"))
			g.Expect(len(chunk) <= logChunkBytes || countLines(chunk) == 1).To(BeTrue())
			rest = rest[len(chunk):]
		}
		_, _ = w.Write([]byte(lines.String()))
		synctest.Wait()
		g.Expect(out.String()).To(Equal(lines.String()))
		out.err = errors.New("closed")
		fmt.Fprintln(w, "lost")
		time.Sleep(2 * logInterval)
		synctest.Wait()
		out.err = nil
		w.close([]byte("the end\n"))
		g.Expect(out.String()).To(HaveSuffix(droppedLine(1) + "the end\n"))
	})
}
