package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu     sync.Mutex
	start  time.Time
	file   *os.File
	broken []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &record{start: time.Now(), file: f}, nil
}

// add writes one line with the seconds since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that a rule was broken.
func (r *record) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.add("RULE BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

func (r *record) breaches() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken)
}
