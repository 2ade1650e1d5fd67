package scheduler

import (
	"container/heap"
	"fmt"
	"time"

	"geraniumwall/config"
	"geraniumwall/fakeworker/machine"
	"geraniumwall/lease"
	"geraniumwall/rpc/grantdelta"
	"geraniumwall/workerapi"
)

const (
	latency     = time.Millisecond
	callTimeout = time.Second
	testDomain  = "thamel"
)

// messageFault describes the fault of one message; the zero value delivers it normally.
type messageFault struct {
	drop      bool
	duplicate bool
	delay     time.Duration
}

// process is a simulated process. It can be dead, or frozen so that its messages are
// delayed. Its clock has its own rate.
type process struct {
	name        string
	alive       bool
	generation  int
	frozenUntil time.Duration
	clockRate   float64
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is a domain with two schedulers, workers, gateways and a model of control
// that does not fail. Every message can be subject to a fault.
type simulation struct {
	now           time.Duration
	queue         events
	seq           int
	faultFor      func(label string, n int) messageFault
	partitioned   func(a, b string) bool
	messageCounts map[string]int
	control       *controlModel
	schedulers    []*simScheduler
	workers       []*simWorker
	gateways      []*simGateway
	runningOn     map[string]string
	startCounts   map[string]int
	failure       string
}

func newSimulation(workers, gateways, slots int) *simulation {
	sim := &simulation{
		messageCounts: map[string]int{}, runningOn: map[string]string{}, startCounts: map[string]int{},
		faultFor: func(string, int) messageFault { return messageFault{} }, partitioned: func(string, string) bool { return false },
	}
	sim.control = &controlModel{process: process{name: "control", alive: true, clockRate: 1}, sim: sim, tasks: map[string]*modelTask{}}
	for i := range 2 {
		s := &simScheduler{process: process{name: fmt.Sprintf("s%d", i+1), clockRate: 1 - 0.005*float64(i)}, sim: sim}
		sim.schedulers = append(sim.schedulers, s)
		sim.after(time.Duration(i)*37*time.Millisecond, s.boot)
	}
	for i := range workers {
		w := &simWorker{process: process{name: fmt.Sprintf("w%d", i+1), clockRate: 1 + 0.005*float64(i%2)}, sim: sim, slots: slots}
		sim.workers = append(sim.workers, w)
		sim.after(time.Duration(i)*53*time.Millisecond, w.boot)
	}
	for i := range gateways {
		g := &simGateway{process: process{name: fmt.Sprintf("g%d", i+1), clockRate: 1}, sim: sim, serviceTime: 40 * time.Millisecond}
		sim.gateways = append(sim.gateways, g)
		sim.after(time.Duration(i)*71*time.Millisecond, g.boot)
	}
	return sim
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.failure == "" {
		sim.failure = fmt.Sprintf("at %v: ", sim.now) + fmt.Sprintf(format, args...)
	}
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, event{at: sim.now + d, seq: sim.seq, run: run})
}

// run advances the time to until or to the first failure.
func (sim *simulation) run(until time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until && sim.failure == "" {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = max(sim.now, until)
}

// runUntil advances the time until the condition holds and reports whether it did.
func (sim *simulation) runUntil(limit time.Duration, reached func() bool) bool {
	for sim.now < limit && sim.failure == "" {
		if reached() {
			return true
		}
		sim.run(sim.now + 50*time.Millisecond)
	}
	return reached()
}

// runOn runs f in the given generation of p, once p is not frozen.
func (sim *simulation) runOn(p *process, generation int, f func()) {
	if !p.alive || p.generation != generation {
		return
	}
	if sim.now < p.frozenUntil {
		sim.after(p.frozenUntil-sim.now, func() { sim.runOn(p, generation, f) })
		return
	}
	f()
}

// freeze pauses a process; it never shortens an earlier freeze.
func (sim *simulation) freeze(p *process, d time.Duration) {
	p.frozenUntil = max(p.frozenUntil, sim.now+d)
}

func (sim *simulation) every(p *process, period time.Duration, f func()) {
	generation := p.generation
	var step func()
	step = func() {
		sim.runOn(p, generation, func() {
			f()
			sim.after(period, step)
		})
	}
	sim.after(0, step)
}

func (sim *simulation) send(label string, from, to *process, f func()) {
	sim.messageCounts[label]++
	fault := sim.faultFor(label, sim.messageCounts[label])
	if fault.drop || sim.partitioned(from.name, to.name) {
		return
	}
	generation := to.generation
	deliver := func() { sim.runOn(to, generation, f) }
	sim.after(latency+fault.delay, deliver)
	if fault.duplicate {
		sim.after(latency+fault.delay+30*time.Millisecond, deliver)
	}
}

// call sends a request and its answer. It calls either answered or failed once, but a
// duplicated answer calls answered twice.
func call[R any](sim *simulation, label string, from, to *process, handle func() R, answered func(R), failed func()) {
	generation := from.generation
	answerArrived, timedOut := false, false
	sim.send(label, from, to, func() {
		result := handle()
		sim.send(label+"-answer", to, from, func() {
			if answerArrived = true; !timedOut {
				answered(result)
			}
		})
	})
	sim.after(callTimeout, func() {
		sim.runOn(from, generation, func() {
			if !answerArrived {
				timedOut = true
				failed()
			}
		})
	})
}

func (p *process) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now) * p.clockRate)
}

// simScheduler runs a core and executes its actions.
type simScheduler struct {
	process
	sim         *simulation
	core        *Core
	syncedIndex uint64
	syncID      int
	// lastTick is the time of the last tick.
	lastTick time.Duration
	// answerer is the scheduler's side of the delta-encoded grant syncs.
	answerer *grantdelta.Answerer
}

func (s *simScheduler) boot() {
	s.alive, s.generation = true, s.generation+1
	identity := fmt.Sprintf("%s#%d", s.name, s.generation)
	s.core = New(s.now(), Settings{Name: s.name, Identity: identity, Domain: testDomain}, newEngine())
	s.core.SetConfig(s.now(), 1, testConfig())
	s.answerer = grantdelta.NewAnswerer(identity)
	s.sim.every(&s.process, TickInterval, s.tick)
	s.sim.every(&s.process, lease.RenewEvery, s.renew)
	s.sim.every(&s.process, lease.RenewEvery, s.renewPeer)
}

// tick skips the ticks that the core does not need, like schedulerd.
func (s *simScheduler) tick() {
	s.step(func(now time.Duration) {
		if now-s.lastTick < RestInterval && now >= s.lastTick && s.core.AtRest(now) {
			return
		}
		s.lastTick = now
		s.core.Tick(now)
	})
}

func (s *simScheduler) crash() { s.alive = false }

func (s *simScheduler) now() time.Duration { return s.clock(s.sim.now) }

// step applies f to the core and executes the resulting actions.
func (s *simScheduler) step(f func(now time.Duration)) {
	f(s.now())
	for _, a := range s.core.TakeActions() {
		s.perform(a)
	}
}

func (s *simScheduler) perform(a Action) {
	sim := s.sim
	switch a := a.(type) {
	case SendAttach:
		r := AttachResult{Target: a.Target, Body: a.Body}
		command(s, "attach", a.Target, func(w *simWorker) workerapi.AttachAnswer { return w.attach(&a.Body) },
			func(answer workerapi.AttachAnswer, failed bool) {
				r.Answer, r.Failed = answer, failed
				s.step(func(now time.Duration) { s.core.AttachAnswered(now, r) })
			})
	case SendStart:
		r := StartResult{Target: a.Target, Ref: workerapi.TaskRef{ID: a.Body.ID, Attempt: a.Body.Attempt}}
		command(s, "start", a.Target, func(w *simWorker) workerapi.CommandAnswer { return w.machine.Start(w.now(), &a.Body) },
			func(answer workerapi.CommandAnswer, failed bool) {
				r.Answer, r.Failed = answer, failed
				s.step(func(now time.Duration) { s.core.StartAnswered(now, r) })
			})
	case SendStop:
		r := StopResult{Target: a.Target, Ref: workerapi.TaskRef{ID: a.Body.ID, Attempt: a.Body.Attempt}}
		command(s, "stop", a.Target, func(w *simWorker) workerapi.CommandAnswer { return w.machine.Stop(w.now(), &a.Body) },
			func(answer workerapi.CommandAnswer, failed bool) {
				r.Answer, r.Failed = answer, failed
				s.step(func(now time.Duration) { s.core.StopAnswered(now, r) })
			})
	case SendReports:
		finish := func(recorded bool) {
			s.step(func(now time.Duration) { s.core.ReportsAnswered(now, a.Epoch, a.Batch, recorded) })
		}
		call(sim, "report", &s.process, &sim.control.process, func() bool { return sim.control.report(s.name, a) }, finish,
			func() { finish(false) })
	case SyncFromStart:
		s.syncID++
		s.syncedIndex = 0
		s.syncTasks(s.syncID, a.Epoch)
	case StopSync:
		s.syncID++
	}
}

// command sends a command to a worker; done gets the answer or failed.
func command[R any](s *simScheduler, label string, t Target, handle func(*simWorker) R, done func(answer R, failed bool)) {
	var none R
	for _, w := range s.sim.workers {
		if w.address() == t.Address {
			call(s.sim, label, &s.process, &w.process, func() R { return handle(w) },
				func(answer R) { done(answer, false) }, func() { done(none, true) })
			return
		}
	}
	s.sim.after(callTimeout, func() { done(none, true) })
}

func (s *simScheduler) syncTasks(sync int, epoch uint64) {
	if s.syncID != sync {
		return
	}
	sim, after := s.sim, s.syncedIndex
	// The real connection to control processes one answer per request. A duplicated answer
	// would start a second chain of requests with an older index.
	answered := false
	retry := func() {
		sim.after(100*time.Millisecond, func() { sim.runOn(&s.process, s.generation, func() { s.syncTasks(sync, epoch) }) })
	}
	call(sim, "sync", &s.process, &sim.control.process, func() *syncAnswer { return sim.control.sync(epoch, after) },
		func(answer *syncAnswer) {
			if answered {
				return
			}
			answered = true
			if answer != nil && s.syncID == sync {
				s.syncedIndex = answer.index
				s.step(func(now time.Duration) { s.core.SyncTasks(now, epoch, answer.tasks, after == 0) })
			}
			retry()
		}, retry)
}

func (s *simScheduler) renew() {
	sent := s.now()
	request, ask := s.core.LeaseRequest(sent)
	if !ask {
		return
	}
	call(s.sim, "renew", &s.process, &s.sim.control.process,
		func() lease.Answer { return s.sim.control.renew(s.name, request) },
		func(a lease.Answer) { s.step(func(now time.Duration) { s.core.ControlRenewed(now, sent, a) }) }, func() {})
}

func (s *simScheduler) renewPeer() {
	epoch, standby, ask := s.core.PeerRequest()
	if !ask {
		return
	}
	sent := s.now()
	for _, peer := range s.sim.schedulers {
		if peer.name != standby {
			continue
		}
		call(s.sim, "peer", &s.process, &peer.process,
			func() PeerGrant { return peer.core.GrantPeer(peer.now(), s.name, epoch, lease.SchedulerLease) },
			func(g PeerGrant) {
				if g.Granted {
					s.core.PeerRenewed(sent, standby, epoch, lease.SchedulerLease)
				}
			}, func() {})
	}
}

// simWorker runs the state machine of the fake worker.
type simWorker struct {
	process
	sim      *simulation
	machine  *machine.Machine
	slots    int
	draining bool
	// lastIdentity and heartbeatDue hold values of each scheduler's last answer.
	lastIdentity map[string]string
	heartbeatDue map[string]time.Duration
}

func (w *simWorker) now() time.Duration { return w.clock(w.sim.now) }
func (w *simWorker) address() string    { return fmt.Sprintf("%s:%d", w.name, w.generation) }

func (w *simWorker) boot() {
	w.alive, w.generation = true, w.generation+1
	w.machine = machine.New(machine.Settings{
		Name: w.name, Incarnation: fmt.Sprint(w.generation), Slots: w.slots,
		Capacity: workerapi.Resources{CPUMillis: 5000, MemoryMB: 1000},
	}, w.recordEvent)
	w.lastIdentity, w.heartbeatDue = map[string]string{}, map[string]time.Duration{}
	w.sim.every(&w.process, time.Second, w.sendHeartbeats)
	w.sim.every(&w.process, 20*time.Millisecond, func() { w.machine.Advance(w.now(), 20*time.Millisecond) })
}

// crash ends the process and all tasks on it.
func (w *simWorker) crash() {
	w.alive = false
	for task, on := range w.sim.runningOn {
		if on == w.address() {
			delete(w.sim.runningOn, task)
		}
	}
}

// recordEvent records task starts and ends, and asserts that no task runs in two places.
// A frozen worker does no work. It stops attempts with expired leases when it resumes.
func (w *simWorker) recordEvent(e machine.Event) {
	sim := w.sim
	switch e.Kind {
	case machine.TaskStart:
		sim.startCounts[e.Task]++
		if on, running := sim.runningOn[e.Task]; running && !sim.isFrozen(on, e.Task) {
			sim.fail("task %s starts on %s while it runs on %s", e.Task, w.address(), on)
		}
		sim.runningOn[e.Task] = w.address()
	case machine.TaskStop, machine.TaskDone, machine.TaskFailed:
		if sim.runningOn[e.Task] == w.address() {
			delete(sim.runningOn, e.Task)
		}
	}
}

// isFrozen reports whether a worker is frozen or gone: it does no work, and stops
// attempts with expired leases before it does any.
func (sim *simulation) isFrozen(address, _ string) bool {
	for _, w := range sim.workers {
		if w.address() == address {
			return sim.now < w.frozenUntil
		}
	}
	return true
}

func (w *simWorker) attach(c *workerapi.Attach) workerapi.AttachAnswer {
	answer := w.machine.Attach(w.now(), c)
	if answer.Accepted {
		clear(w.heartbeatDue)
		generation := w.generation
		w.sim.after(0, func() { w.sim.runOn(&w.process, generation, w.sendHeartbeats) })
	}
	return answer
}

func (w *simWorker) sendHeartbeats() {
	for _, s := range w.sim.schedulers {
		if w.sim.now < w.heartbeatDue[s.name] {
			continue
		}
		hb := &workerapi.Heartbeat{
			Domain: testDomain, Rack: "r1", Address: w.address(), Connections: 8 * w.slots, Services: []string{"proof"},
		}
		w.machine.Heartbeat(w.now(), hb)
		hb.Draining = w.draining
		if holder, last := w.machine.TaskHolder(), w.lastIdentity[s.name]; holder != "" && last != "" && last != holder {
			hb.Tasks, hb.WithoutTasks = nil, true
		}
		sent := w.sim.now
		call(w.sim, "heartbeat", &w.process, &s.process, func() *workerapi.HeartbeatAnswer {
			var answer *workerapi.HeartbeatAnswer
			s.step(func(now time.Duration) {
				if a, err := s.core.Heartbeat(now, hb); err == nil {
					answer = &a
				}
			})
			return answer
		}, func(a *workerapi.HeartbeatAnswer) {
			if a != nil {
				w.lastIdentity[s.name] = a.Scheduler
				w.heartbeatDue[s.name] = sent + time.Duration(a.IntervalMS)*time.Millisecond
				w.machine.Answered(w.now(), hb, a)
			}
		}, func() {})
	}
}

func testConfig() config.Config {
	return config.Config{
		Services: []config.Service{{Name: "proof", PerSlot: config.Resources{CPUMillis: 100, MemoryMB: 50}}},
		Jobs:     []config.Job{{Name: "batch", MaxAttempts: 3, Checkpoints: true}},
	}
}
