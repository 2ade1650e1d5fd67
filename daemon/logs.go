package daemon

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// logBufferBytes limits the lines that wait for a slow reader. At the limit all of
	// them are dropped and counted.
	logBufferBytes = 1 << 20
	// logChunkBytes is the size up to which a write to a pipe is atomic, so that lines
	// are not mixed with those of others.
	logChunkBytes = 4096
	// logInterval is the time between two writes, so that many lines share one.
	logInterval = 5 * time.Millisecond
	// At the end of the process, buffered lines are written for backlogTimeout at most
	// and the last line for lastLineTimeout more.
	backlogTimeout  = 200 * time.Millisecond
	lastLineTimeout = 100 * time.Millisecond
)

// logWriter hands log lines to a goroutine that writes them, the first one after a pause
// at once. Write never blocks.
type logWriter struct {
	out     io.Writer
	wake    chan struct{}
	closing chan struct{}
	done    chan struct{}

	mu      sync.Mutex
	pending []byte
	dropped int
	closed  bool
	last    []byte
	// dropAfter is when the remaining lines are dropped; it is set by close.
	dropAfter time.Time
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{out: out, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer for whole lines. Lines after close are discarded.
func (w *logWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	if !w.closed {
		if len(w.pending)+len(line) > logBufferBytes {
			w.dropped += countLines(w.pending)
			w.pending = w.pending[:0]
		}
		w.pending = append(w.pending, line...)
	}
	w.mu.Unlock()
	w.notify()
	return len(line), nil
}

// close writes the buffered lines and then last, and returns after a limited time also
// if the reader is slow or gone.
func (w *logWriter) close(last []byte) {
	w.mu.Lock()
	if !w.closed {
		w.closed, w.last, w.dropAfter = true, last, time.Now().Add(backlogTimeout)
		close(w.closing)
	}
	w.mu.Unlock()
	w.notify()
	timeout := time.NewTimer(backlogTimeout + lastLineTimeout)
	defer timeout.Stop()
	select {
	case <-w.done:
	case <-timeout.C:
	}
}

func (w *logWriter) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *logWriter) run() {
	defer close(w.done)
	var lines []byte
	for range w.wake {
		var closed bool
		lines, closed = w.take(lines)
		w.writeLines(lines)
		if closed {
			w.writeLast()
			return
		}
		select {
		case <-w.closing:
		case <-time.After(logInterval):
		}
	}
}

// take returns the pending lines and lets written be filled with the next ones.
func (w *logWriter) take(written []byte) (lines []byte, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines, w.pending = w.pending, written[:0]
	if w.dropped > 0 {
		lines = append([]byte(droppedLine(w.dropped)), lines...)
		w.dropped = 0
	}
	return lines, w.closed
}

func (w *logWriter) writeLines(lines []byte) {
	for len(lines) > 0 {
		if w.mustDrop() {
			w.countDropped(lines)
			return
		}
		chunk := lines[:chunkLength(lines)]
		if _, err := w.out.Write(chunk); err != nil {
			w.countDropped(chunk)
		}
		lines = lines[len(chunk):]
	}
}

func (w *logWriter) writeLast() {
	w.mu.Lock()
	last, dropped := w.last, w.dropped
	w.mu.Unlock()
	if dropped > 0 {
		last = append([]byte(droppedLine(dropped)), last...)
	}
	if len(last) > 0 {
		_, _ = w.out.Write(last)
	}
}

func (w *logWriter) mustDrop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed && time.Now().After(w.dropAfter)
}

func (w *logWriter) countDropped(lines []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped += countLines(lines)
}

// chunkLength returns the length of the lines at the start that fit into a chunk, or of
// the first line if it is longer.
func chunkLength(lines []byte) int {
	if len(lines) <= logChunkBytes {
		return len(lines)
	}
	if i := bytes.LastIndexByte(lines[:logChunkBytes], '\n'); i >= 0 {
		return i + 1
	}
	if i := bytes.IndexByte(lines, '\n'); i >= 0 {
		return i + 1
	}
	return len(lines)
}

func countLines(lines []byte) int { return bytes.Count(lines, []byte("\n")) }

func droppedLine(lines int) string {
	return fmt.Sprintf(`{"level":"warn","dropped":%d,"message":"log lines were dropped"}`+"\n", lines)
}

// errorLog passes the lines of the standard library's logger on, such as those about
// panics in HTTP handlers.
type errorLog struct{ log zerolog.Logger }

// Write implements io.Writer.
func (l errorLog) Write(line []byte) (int, error) {
	l.log.Error().Msg(strings.TrimSpace(string(line)))
	return len(line), nil
}
