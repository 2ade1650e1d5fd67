// Package machine holds the rules of the stand-in worker as a pure state machine:
// sessions, fencing, leases, slots and simulated tasks. Times are monotonic.
package machine

import (
	"time"

	"geraniumwall/workerapi"
)

// holderSilence is the silence of the holder after which another scheduler may
// take the session for services only. It is above the interval of heartbeats, so
// that a holder that answers them keeps its session.
const holderSilence = 1500 * time.Millisecond

// EventKind names what an Event records.
type EventKind string

// Kinds of events.
const (
	TaskStart  EventKind = "task_start"
	TaskStop   EventKind = "task_stop"
	TaskDone   EventKind = "task_done"
	TaskFailed EventKind = "task_failed"
	Peak       EventKind = "peak"
)

// Event is something that a test must be able to prove later.
type Event struct {
	// At is when the work began or ended. An attempt whose lease ended while the
	// process was frozen ended with the lease, because a frozen process does no work.
	At      time.Duration
	Kind    EventKind
	Task    string
	Attempt workerapi.Attempt
	Ran     time.Duration
}

// Settings are the size and the identity of a worker.
type Settings struct {
	Name        string
	Incarnation string
	Capacity    workerapi.Resources
	Slots       int
}

// Machine is the state of a worker. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	record   func(Event)
	session  session
	heard    map[string]time.Duration
	tasks    map[string]*attempt
	newest   map[string]fence
	sent     map[uint64]time.Duration
	sequence uint64
	inUse    map[uint64]int
	busy     int
	draining bool
	peak     workerapi.Resources
	slotPeak int
}

// New returns a worker without a session. record is called with each event.
func New(s Settings, record func(Event)) *Machine {
	return &Machine{
		settings: s, record: record,
		heard: map[string]time.Duration{}, tasks: map[string]*attempt{}, newest: map[string]fence{},
		sent: map[uint64]time.Duration{}, inUse: map[uint64]int{},
	}
}

// Drain refuses new tasks from now on.
func (m *Machine) Drain() { m.draining = true }

// Idle reports whether no request runs and no attempt waits for an acknowledgement.
func (m *Machine) Idle() bool { return m.busy == 0 && len(m.tasks) == 0 }

// Peak returns the highest use of capacity by tasks and of slots so far.
func (m *Machine) Peak() (workerapi.Resources, int) { return m.peak, m.slotPeak }

// TaskHolder is the scheduler of the newest full session, or empty.
func (m *Machine) TaskHolder() string { return m.session.taskHolder }

// Session is the number of the session in force.
func (m *Machine) Session() uint64 { return m.session.number }

// TakeSlot starts a request under a session. It returns the reason if the request
// must be refused.
func (m *Machine) TakeSlot(now time.Duration, session uint64) string {
	switch {
	case session != m.session.number || session == 0:
		return "the session is not in force"
	case m.busy >= m.settings.Slots:
		return "no slot is free"
	}
	m.busy++
	m.inUse[session]++
	m.notePeak(now)
	return ""
}

// FreeSlot ends a request that TakeSlot started.
func (m *Machine) FreeSlot(session uint64) {
	m.busy--
	if m.inUse[session]--; m.inUse[session] == 0 {
		delete(m.inUse, session)
	}
}

func (m *Machine) slotsInUse() map[uint64]int {
	copied := make(map[uint64]int, len(m.inUse))
	for session, n := range m.inUse {
		copied[session] = n
	}
	return copied
}

// Used is what running tasks take up by their declared sizes.
func (m *Machine) Used() workerapi.Resources {
	var sum workerapi.Resources
	for _, a := range m.tasks {
		if a.running() {
			sum = sum.Plus(a.report.Resources)
		}
	}
	return sum
}

func (m *Machine) notePeak(now time.Duration) {
	used := m.Used()
	higher := used.CPUMillis > m.peak.CPUMillis || used.MemoryMB > m.peak.MemoryMB ||
		used.Accelerators > m.peak.Accelerators || m.busy > m.slotPeak
	if !higher {
		return
	}
	m.peak.CPUMillis = max(m.peak.CPUMillis, used.CPUMillis)
	m.peak.MemoryMB = max(m.peak.MemoryMB, used.MemoryMB)
	m.peak.Accelerators = max(m.peak.Accelerators, used.Accelerators)
	m.slotPeak = max(m.slotPeak, m.busy)
	m.record(Event{At: now, Kind: Peak})
}

// Load is a running task as it weighs on services.
type Load struct {
	Job string
	// Share is the part of the processors of the host that the task uses, 0 to 1.
	Share float64
}

// Loads lists the running tasks.
func (m *Machine) Loads() []Load {
	var loads []Load
	for _, a := range m.tasks {
		if a.running() {
			share := a.share * float64(a.report.Resources.CPUMillis) / float64(m.settings.Capacity.CPUMillis)
			loads = append(loads, Load{Job: a.report.Job, Share: share})
		}
	}
	return loads
}
