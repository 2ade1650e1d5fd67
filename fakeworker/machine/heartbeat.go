package machine

import (
	"bytes"
	"time"

	"geraniumwall/workerapi"
)

// keptSequences is how many heartbeats are remembered for starts.
const keptSequences = 256

// Heartbeat fills in the state of the worker. Leases count from now, so the
// heartbeat must be sent after the call.
func (m *Machine) Heartbeat(now time.Duration, hb *workerapi.Heartbeat) {
	m.expireLeases(now)
	m.sequence++
	m.sent[m.sequence] = now
	delete(m.sent, m.sequence-keptSequences)
	hb.Worker, hb.Incarnation, hb.Sequence = m.settings.Name, m.settings.Incarnation, m.sequence
	hb.Capacity, hb.Slots, hb.Draining = m.settings.Capacity, m.settings.Slots, m.draining
	hb.Session, hb.Holder, hb.Epoch = m.session.number, m.session.holder, m.session.epoch
	hb.SlotsInUse, hb.Tasks = m.slotsInUse(), m.reports(false)
	for i := range hb.Tasks {
		hb.Used = hb.Used.Plus(hb.Tasks[i].Used)
	}
}

// Answered takes in the answer to a heartbeat. Only the holder of the newest full
// session renews leases and acknowledges outcomes.
func (m *Machine) Answered(now time.Duration, hb *workerapi.Heartbeat, answer *workerapi.HeartbeatAnswer) {
	m.heard[answer.Scheduler] = now
	sent, known := m.sent[hb.Sequence]
	if answer.Scheduler != m.session.taskHolder || !known {
		return
	}
	m.renewed(hb, answer, sent)
}

// reports lists the attempts. A checkpoint of a running attempt is included only
// while no scheduler has it, or if all are wanted.
func (m *Machine) reports(all bool) []workerapi.TaskReport {
	var list []workerapi.TaskReport
	for _, id := range m.taskIDs() {
		a := m.tasks[id]
		if a.running() {
			a.refresh()
		}
		r := a.report
		if a.running() && !a.unsent && !all {
			r.Checkpoint = nil
		}
		list = append(list, r)
	}
	return list
}

// renewed takes in the answer of the scheduler that holds the tasks.
func (m *Machine) renewed(hb *workerapi.Heartbeat, answer *workerapi.HeartbeatAnswer, sent time.Duration) {
	lease := sent + time.Duration(answer.TaskLeaseMS)*time.Millisecond
	for _, ref := range answer.Renew {
		if a := m.tasks[ref.ID]; a != nil && a.running() && a.report.Attempt == ref.Attempt && lease > a.lease {
			a.lease = lease
		}
	}
	for _, ref := range answer.Acknowledge {
		if a := m.tasks[ref.ID]; a != nil && !a.running() && a.report.Attempt == ref.Attempt {
			delete(m.tasks, ref.ID)
		}
	}
	for i := range hb.Tasks {
		r := &hb.Tasks[i]
		if a := m.tasks[r.ID]; a != nil && a.unsent && bytes.Equal(r.Checkpoint, a.report.Checkpoint) {
			a.unsent = false
		}
	}
}
