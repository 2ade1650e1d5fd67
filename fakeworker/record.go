package fakeworker

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"

	"geraniumwall/fakeworker/machine"
	"geraniumwall/workerapi"
)

// EventKind names what an Event records.
type EventKind string

// Kinds of events. A peak is a new highest use of the capacity or the slots.
const (
	TaskStart    = EventKind(machine.TaskStart)
	TaskStop     = EventKind(machine.TaskStop)
	TaskDone     = EventKind(machine.TaskDone)
	TaskFailed   = EventKind(machine.TaskFailed)
	Peak         = EventKind(machine.Peak)
	RequestStart = EventKind("request_start")
	RequestEnd   = EventKind("request_end")
)

// Event is one line of the record file.
type Event struct {
	// NS is the wall clock in nanoseconds since 1970 at which work began or ended.
	// An attempt whose lease ended while the process was frozen ended with the
	// lease, because a frozen process does no work.
	NS          int64                `json:"ns"`
	Worker      string               `json:"worker"`
	Incarnation string               `json:"incarnation"`
	Event       EventKind            `json:"event"`
	Task        string               `json:"task,omitempty"`
	Attempt     *workerapi.Attempt   `json:"attempt,omitempty"`
	Service     string               `json:"service,omitempty"`
	RequestID   string               `json:"request_id,omitempty"`
	Key         string               `json:"key,omitempty"`
	RanMS       int64                `json:"ran_ms,omitempty"`
	Use         *workerapi.Resources `json:"use,omitempty"`
	Slots       int                  `json:"slots,omitempty"`
}

// recorder appends events to a file. Each line is written at once, so that a
// killed process loses none.
type recorder struct {
	mu   sync.Mutex
	file *os.File
}

func openRecorder(path string) (*recorder, error) {
	if path == "" {
		return &recorder{}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // path of the settings
	if err != nil {
		return nil, fmt.Errorf("open record file: %w", err)
	}
	return &recorder{file: file}, nil
}

func (r *recorder) add(e Event) {
	if r.file == nil {
		return
	}
	line, err := json.Marshal(e)
	if err != nil {
		panic(fmt.Sprintf("encode event: %v", err))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, err := r.file.Write(append(line, '\n')); err != nil {
		panic(fmt.Sprintf("write record file: %v", err))
	}
}

func (r *recorder) close() error {
	if r.file == nil {
		return nil
	}
	return r.file.Close()
}
