package scheduler

import (
	"fmt"
	"time"

	"geraniumwall/lease"
	"geraniumwall/rpc/grantdelta"
	"geraniumwall/rpc/schedulerpb"
	"geraniumwall/workerapi"
)

// modelTask is a task record in the model of control.
type modelTask struct {
	BoundTask
	state        string
	changedIndex uint64
}

// controlModel models control as a single process without faults.
type controlModel struct {
	process
	sim     *simulation
	grantor lease.Grantor
	record  lease.Record
	// sentEpoch is the newest epoch that was sent to its active scheduler.
	sentEpoch uint64
	revision  uint64
	index     uint64
	tasks     map[string]*modelTask
}

func (m *controlModel) submit(id string, payload string) {
	m.index++
	m.tasks[id] = &modelTask{
		BoundTask: BoundTask{
			ID: id, Job: "batch", Size: workerapi.Resources{CPUMillis: 1000, MemoryMB: 100},
			Domain: testDomain, Payload: []byte(payload), Expected: time.Second,
		},
		state: "pending", changedIndex: m.index,
	}
	m.bindPending()
}

func (m *controlModel) bindPending() {
	if m.record.Active == "" {
		return
	}
	for _, id := range sortedKeys(m.tasks) {
		if t := m.tasks[id]; t.state == "pending" {
			m.index++
			t.state, t.Bound, t.Epoch, t.changedIndex = "bound", true, m.record.Epoch, m.index
			t.Attempt = workerapi.Attempt{Epoch: m.record.Epoch, Number: t.Attempt.Number + 1}
		}
	}
}

func (m *controlModel) cancel(id string) {
	m.index++
	m.tasks[id].CancelRequested, m.tasks[id].changedIndex = true, m.index
}

func (m *controlModel) renew(name string, q LeaseRequest) lease.Answer {
	m.expire(m.sim.now)
	restarted := m.appoint(name, q)
	m.nameStandby(name, q)
	return m.answer(name, restarted)
}

// appoint makes name the active scheduler if it may be appointed. It reports whether
// name is already the active scheduler but has lost its epoch in a restart.
func (m *controlModel) appoint(name string, q LeaseRequest) bool {
	now, d := m.sim.now, &m.record
	restarted := d.Active == name && (q.Epoch > d.Epoch || q.Epoch == 0 && m.sentEpoch >= d.Epoch)
	if !q.MayBeAppointed || name == d.Active && !restarted || !m.grantor.MayAppoint(*d, name, now) {
		return restarted
	}
	m.revision++
	*d = lease.Record{Epoch: d.Epoch + 1, Active: name, Clean: true}
	m.grantor.Assume(now)
	m.bindPending()
	return false
}

func (m *controlModel) nameStandby(name string, q LeaseRequest) {
	d := &m.record
	if d.Active != "" && name != d.Active && d.Standby != name {
		m.revision++
		d.Clean = d.Clean && d.Standby == ""
		d.Standby = name
	}
	if name == d.Active && q.Revision == m.revision {
		d.Clean = true
	}
}

func (m *controlModel) answer(name string, restarted bool) lease.Answer {
	d := &m.record
	answer := lease.Answer{Epoch: d.Epoch, Revision: m.revision, Active: d.Active, Standby: d.Standby}
	switch {
	case name == d.Active && restarted:
		answer.Epoch, answer.Revision = 0, 0
	case name == d.Active && m.grantor.Renew(m.sim.now):
		m.sentEpoch = d.Epoch
		answer.Role, answer.SchedulerLease, answer.DomainLease = lease.RoleActive, lease.SchedulerLease, lease.DomainLease
	case name == d.Standby:
		answer.Role = lease.RoleStandby
	}
	return answer
}

// expire unbinds the tasks of a domain whose lease has expired.
func (m *controlModel) expire(now time.Duration) {
	if m.record.Active == "" || !m.grantor.DomainOver(now) {
		return
	}
	m.revision++
	m.record = lease.Record{Epoch: m.record.Epoch + 1, Clean: true}
	for _, id := range sortedKeys(m.tasks) {
		if t := m.tasks[id]; t.state == "bound" {
			m.index++
			t.state, t.Bound, t.changedIndex = "pending", false, m.index
		}
	}
}

type syncAnswer struct {
	tasks []BoundTask
	index uint64
}

func (m *controlModel) sync(epoch, after uint64) *syncAnswer {
	if epoch != m.record.Epoch {
		return nil
	}
	answer := &syncAnswer{index: max(m.index, 1)}
	for _, id := range sortedKeys(m.tasks) {
		t := m.tasks[id]
		if t.changedIndex > after && (after > 0 || t.Bound) {
			answer.tasks = append(answer.tasks, t.BoundTask)
		}
	}
	return answer
}

func (m *controlModel) report(name string, a SendReports) bool {
	if name != m.record.Active || a.Epoch != m.record.Epoch {
		return false
	}
	for _, r := range a.Events {
		t := m.tasks[r.Task]
		if t.state != "bound" || r.Attempt.Less(t.Attempt) {
			continue
		}
		m.index++
		t.Attempt, t.changedIndex = r.Attempt, m.index
		switch r.Kind {
		case ReportDone, ReportFailed, ReportCancelled:
			t.state, t.Bound = string(r.Kind), false
		case ReportAttemptFailed:
			t.Failures++
		case ReportEvicted:
			if len(r.Checkpoint) > 0 {
				t.Checkpoint = r.Checkpoint
			}
		case ReportReturned:
			// The task is bound again before the scheduler has seen that it was unbound.
			t.state, t.Bound = "pending", false
		}
	}
	m.bindPending()
	return true
}

func (m *controlModel) ended() bool {
	for _, t := range m.tasks {
		if t.state == "pending" || t.state == "bound" {
			return false
		}
	}
	return true
}

// simGateway holds grants and sends requests under them.
type simGateway struct {
	process
	sim          *simulation
	sequence     uint64
	grants       map[string]heldGrant
	inUse        map[string]int
	grantHolders map[string]*grantdelta.Holder
	serviceTime  time.Duration
	done         int
}

type heldGrant struct {
	Grant
	from  string
	until time.Duration
}

func (g *simGateway) boot() {
	g.alive, g.generation = true, g.generation+1
	g.sequence, g.grants, g.inUse = 0, map[string]heldGrant{}, map[string]int{}
	g.grantHolders = map[string]*grantdelta.Holder{}
	g.sim.every(&g.process, 250*time.Millisecond, g.syncAll)
	g.sim.every(&g.process, 30*time.Millisecond, g.request)
}

func (g *simGateway) syncAll() {
	g.sequence++
	for _, s := range g.sim.schedulers {
		g.syncWith(s, g.sequence)
	}
}

func (g *simGateway) syncWith(s *simScheduler, sequence uint64) {
	sim, sent := g.sim, g.sim.now
	request := GrantSync{
		Gateway: g.name, Domain: testDomain, Incarnation: fmt.Sprint(g.generation), Sequence: sequence,
		Demand: map[string]int{"proof": 4},
	}
	for _, id := range sortedKeys(g.grants) {
		if h := g.grants[id]; h.from == s.name && sent < h.until {
			request.Holdings = append(request.Holdings, Holding{Worker: id, Session: h.Session, Slots: h.Slots, InUse: g.inUse[id]})
		}
	}
	whole := encodeSync(request)
	short := g.grantHolder(s.name).Shorten(whole)
	call(sim, "grants", &g.process, &s.process, func() *schedulerpb.SyncGrantsResponse {
		var answer *schedulerpb.SyncGrantsResponse
		s.step(func(time.Duration) { answer = s.answerSync(short) })
		return answer
	}, func(answer *schedulerpb.SyncGrantsResponse) {
		if sequence != g.sequence || answer == nil {
			return
		}
		a, restored := g.grantHolder(s.name).Restore(whole, answer)
		if !restored {
			return
		}
		for id, h := range g.grants {
			if h.from == s.name {
				delete(g.grants, id)
			}
		}
		for _, grant := range decodeGrants(a) {
			if held, known := g.grants[grant.Worker]; !known || held.Session <= grant.Session {
				g.grants[grant.Worker] = heldGrant{Grant: grant, from: s.name, until: sent + grant.Duration}
			}
		}
		sim.checkGrants()
	}, func() {})
}

// checkGrants asserts that the grants under the current session never exceed the slots
// of a worker.
func (sim *simulation) checkGrants() {
	for _, w := range sim.workers {
		if !w.alive {
			continue
		}
		sum := 0
		for _, g := range sim.gateways {
			if held := g.grants[w.name]; g.alive && held.Address == w.address() && held.Session == w.machine.Session() && sim.now < held.until {
				sum += held.Slots
			}
		}
		if sum > w.slots {
			sim.fail("%d slots of %s are granted, of %d", sum, w.name, w.slots)
		}
	}
}

// request uses every free slot that the gateway holds.
func (g *simGateway) request() {
	for _, id := range sortedKeys(g.grants) {
		held := g.grants[id]
		for _, w := range g.sim.workers {
			if w.address() == held.Address && g.inUse[id] < held.Slots && g.sim.now < held.until {
				g.inUse[id]++
				g.serve(w, id, held.Session)
			}
		}
	}
}

func (g *simGateway) serve(w *simWorker, id string, session uint64) {
	sim, generation := g.sim, g.generation
	free := func() { sim.runOn(&g.process, generation, func() { g.inUse[id]-- }) }
	sim.send("serve", &g.process, &w.process, func() {
		m := w.machine
		if reason := m.TakeSlot(w.now(), session); reason != "" {
			sim.after(latency, free)
			return
		}
		sim.after(g.serviceTime, func() {
			if w.machine == m {
				m.FreeSlot(session)
			}
			g.done++
			free()
		})
	})
	if sim.faultFor("serve", sim.messageCounts["serve"]).drop {
		free()
	}
}
