package scheduler

import (
	"fmt"
	"time"

	"geraniumwall/lease"
	"geraniumwall/rpc/grantdelta"
	"geraniumwall/rpc/schedulerpb"
	"geraniumwall/workerapi"
)

// modelTask is a task as the model of control has it.
type modelTask struct {
	BoundTask
	state   string
	changed uint64
}

// controlModel is control as one process without faults.
type controlModel struct {
	proc
	world   *world
	grantor lease.Grantor
	record  lease.Record
	// told is the newest epoch that its active scheduler was told.
	told     uint64
	revision uint64
	index    uint64
	tasks    map[string]*modelTask
}

func (m *controlModel) submit(id string, payload string) {
	m.index++
	m.tasks[id] = &modelTask{
		BoundTask: BoundTask{
			ID: id, Job: "batch", Size: workerapi.Resources{CPUMillis: 1000, MemoryMB: 100},
			Domain: worldDomain, Payload: []byte(payload), Expected: time.Second,
		},
		state: "pending", changed: m.index,
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
			t.state, t.Bound, t.Epoch, t.changed = "bound", true, m.record.Epoch, m.index
			t.Attempt = workerapi.Attempt{Epoch: m.record.Epoch, Number: t.Attempt.Number + 1}
		}
	}
}

func (m *controlModel) cancel(id string) {
	m.index++
	m.tasks[id].CancelRequested, m.tasks[id].changed = true, m.index
}

func (m *controlModel) renew(name string, q LeaseRequest) lease.Answer {
	m.expire(m.world.now)
	restarted := m.appoint(name, q)
	m.nameStandby(name, q)
	return m.answer(name, restarted)
}

// appoint makes name the active scheduler if it may be. It reports whether name
// is the active scheduler of an epoch that it no longer knows.
func (m *controlModel) appoint(name string, q LeaseRequest) bool {
	now, d := m.world.now, &m.record
	restarted := d.Active == name && (q.Epoch > d.Epoch || q.Epoch == 0 && m.told >= d.Epoch)
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
	case name == d.Active && m.grantor.Renew(m.world.now):
		m.told = d.Epoch
		answer.Role, answer.SchedulerLease, answer.DomainLease = lease.RoleActive, lease.SchedulerLease, lease.DomainLease
	case name == d.Standby:
		answer.Role = lease.RoleStandby
	}
	return answer
}

// expire unbinds the tasks of a domain whose lease is over.
func (m *controlModel) expire(now time.Duration) {
	if m.record.Active == "" || !m.grantor.DomainOver(now) {
		return
	}
	m.revision++
	m.record = lease.Record{Epoch: m.record.Epoch + 1, Clean: true}
	for _, id := range sortedKeys(m.tasks) {
		if t := m.tasks[id]; t.state == "bound" {
			m.index++
			t.state, t.Bound, t.changed = "pending", false, m.index
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
		if t.changed > after && (after > 0 || t.Bound) {
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
		t.Attempt, t.changed = r.Attempt, m.index
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
			// Bound again before the scheduler has seen that the task left.
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

// gatewayProc holds grants and sends requests on them.
type gatewayProc struct {
	proc
	world    *world
	sequence uint64
	grants   map[string]heldGrant
	inUse    map[string]int
	holders  map[string]*grantdelta.Holder
	work     time.Duration
	done     int
}

type heldGrant struct {
	Grant
	from  string
	until time.Duration
}

func (g *gatewayProc) boot() {
	g.alive, g.life = true, g.life+1
	g.sequence, g.grants, g.inUse = 0, map[string]heldGrant{}, map[string]int{}
	g.holders = map[string]*grantdelta.Holder{}
	g.world.every(&g.proc, 250*time.Millisecond, g.syncAll)
	g.world.every(&g.proc, 30*time.Millisecond, g.request)
}

func (g *gatewayProc) syncAll() {
	g.sequence++
	for _, s := range g.world.schedulers {
		g.syncWith(s, g.sequence)
	}
}

func (g *gatewayProc) syncWith(s *schedulerProc, sequence uint64) {
	w, sent := g.world, g.world.now
	request := GrantSync{
		Gateway: g.name, Domain: worldDomain, Incarnation: fmt.Sprint(g.life), Sequence: sequence,
		Demand: map[string]int{"proof": 4},
	}
	for _, id := range sortedKeys(g.grants) {
		if h := g.grants[id]; h.from == s.name && sent < h.until {
			request.Holdings = append(request.Holdings, Holding{Worker: id, Session: h.Session, Slots: h.Slots, InUse: g.inUse[id]})
		}
	}
	whole := syncMessage(request)
	short := g.holder(s.name).Shorten(whole)
	call(w, "grants", &g.proc, &s.proc, func() *schedulerpb.SyncGrantsResponse {
		var answer *schedulerpb.SyncGrantsResponse
		s.step(func(time.Duration) { answer = s.answerSync(short) })
		return answer
	}, func(answer *schedulerpb.SyncGrantsResponse) {
		if sequence != g.sequence || answer == nil {
			return
		}
		a, restored := g.holder(s.name).Restore(whole, answer)
		if !restored {
			return
		}
		for id, h := range g.grants {
			if h.from == s.name {
				delete(g.grants, id)
			}
		}
		for _, grant := range grantsOf(a) {
			if held, known := g.grants[grant.Worker]; !known || held.Session <= grant.Session {
				g.grants[grant.Worker] = heldGrant{Grant: grant, from: s.name, until: sent + grant.Duration}
			}
		}
		w.checkGrants()
	}, func() {})
}

// checkGrants asserts that the grants under the session in force never exceed the
// slots of a worker.
func (w *world) checkGrants() {
	for _, h := range w.workers {
		if !h.alive {
			continue
		}
		sum := 0
		for _, g := range w.gateways {
			if held := g.grants[h.name]; g.alive && held.Address == h.address() && held.Session == h.machine.Session() && w.now < held.until {
				sum += held.Slots
			}
		}
		if sum > h.slots {
			w.fail("%d slots of %s are granted, of %d", sum, h.name, h.slots)
		}
	}
}

// request uses every free slot that the gateway holds.
func (g *gatewayProc) request() {
	for _, id := range sortedKeys(g.grants) {
		held := g.grants[id]
		for _, h := range g.world.workers {
			if h.address() == held.Address && g.inUse[id] < held.Slots && g.world.now < held.until {
				g.inUse[id]++
				g.serve(h, id, held.Session)
			}
		}
	}
}

func (g *gatewayProc) serve(h *workerProc, id string, session uint64) {
	w, life := g.world, g.life
	free := func() { w.on(&g.proc, life, func() { g.inUse[id]-- }) }
	w.send("serve", &g.proc, &h.proc, func() {
		m := h.machine
		if reason := m.TakeSlot(h.now(), session); reason != "" {
			w.after(latency, free)
			return
		}
		w.after(g.work, func() {
			if h.machine == m {
				m.FreeSlot(session)
			}
			g.done++
			free()
		})
	})
	if w.fates("serve", w.counts["serve"]).drop {
		free()
	}
}
