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
	worldDomain = "thamel"
)

// fate is what happens to one message.
type fate struct {
	drop  bool
	twice bool
	delay time.Duration
}

// proc is a process: it can be dead, or frozen so that its messages wait. Its
// clock has a rate of its own.
type proc struct {
	name   string
	alive  bool
	life   int
	frozen time.Duration
	rate   float64
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

// world is a domain with two schedulers, workers, gateways and a model of control
// that does not fail. Messages can meet any fate.
type world struct {
	now        time.Duration
	queue      events
	seq        int
	fates      func(label string, n int) fate
	cut        func(a, b string) bool
	counts     map[string]int
	control    *controlModel
	schedulers []*schedulerProc
	workers    []*workerProc
	gateways   []*gatewayProc
	running    map[string]string
	starts     map[string]int
	failure    string
}

func newWorld(workers, gateways, slots int) *world {
	w := &world{
		counts: map[string]int{}, running: map[string]string{}, starts: map[string]int{},
		fates: func(string, int) fate { return fate{} }, cut: func(string, string) bool { return false },
	}
	w.control = &controlModel{proc: proc{name: "control", alive: true, rate: 1}, world: w, tasks: map[string]*modelTask{}}
	for i := range 2 {
		s := &schedulerProc{proc: proc{name: fmt.Sprintf("s%d", i+1), rate: 1 - 0.005*float64(i)}, world: w}
		w.schedulers = append(w.schedulers, s)
		w.after(time.Duration(i)*37*time.Millisecond, s.boot)
	}
	for i := range workers {
		h := &workerProc{proc: proc{name: fmt.Sprintf("w%d", i+1), rate: 1 + 0.005*float64(i%2)}, world: w, slots: slots}
		w.workers = append(w.workers, h)
		w.after(time.Duration(i)*53*time.Millisecond, h.boot)
	}
	for i := range gateways {
		g := &gatewayProc{proc: proc{name: fmt.Sprintf("g%d", i+1), rate: 1}, world: w, work: 40 * time.Millisecond}
		w.gateways = append(w.gateways, g)
		w.after(time.Duration(i)*71*time.Millisecond, g.boot)
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now + d, seq: w.seq, run: run})
}

// run advances the time to until or to the first failure.
func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until && w.failure == "" {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = max(w.now, until)
}

// runUntil advances until the condition holds and reports whether it did.
func (w *world) runUntil(limit time.Duration, reached func() bool) bool {
	for w.now < limit && w.failure == "" {
		if reached() {
			return true
		}
		w.run(w.now + 50*time.Millisecond)
	}
	return reached()
}

// on runs f in the life of p, once it is not frozen.
func (w *world) on(p *proc, life int, f func()) {
	if !p.alive || p.life != life {
		return
	}
	if w.now < p.frozen {
		w.after(p.frozen-w.now, func() { w.on(p, life, f) })
		return
	}
	f()
}

// freeze stops a process for a time; a freeze never shortens one before it.
func (w *world) freeze(p *proc, d time.Duration) { p.frozen = max(p.frozen, w.now+d) }

func (w *world) every(p *proc, period time.Duration, f func()) {
	life := p.life
	var step func()
	step = func() {
		w.on(p, life, func() {
			f()
			w.after(period, step)
		})
	}
	w.after(0, step)
}

func (w *world) send(label string, from, to *proc, f func()) {
	w.counts[label]++
	what := w.fates(label, w.counts[label])
	if what.drop || w.cut(from.name, to.name) {
		return
	}
	life := to.life
	deliver := func() { w.on(to, life, f) }
	w.after(latency+what.delay, deliver)
	if what.twice {
		w.after(latency+what.delay+30*time.Millisecond, deliver)
	}
}

// call is a request with an answer. Exactly one of answered and failed runs,
// except that a duplicated answer is taken in twice.
func call[R any](w *world, label string, from, to *proc, handle func() R, answered func(R), failed func()) {
	life := from.life
	over, timedOut := false, false
	w.send(label, from, to, func() {
		result := handle()
		w.send(label+"-answer", to, from, func() {
			if over = true; !timedOut {
				answered(result)
			}
		})
	})
	w.after(callTimeout, func() {
		w.on(from, life, func() {
			if !over {
				timedOut = true
				failed()
			}
		})
	})
}

func (p *proc) clock(now time.Duration) time.Duration { return time.Duration(float64(now) * p.rate) }

// schedulerProc runs a core.
type schedulerProc struct {
	proc
	world *world
	core  *Core
	after uint64
	sync  int
	// ticked is the time of the last tick.
	ticked time.Duration
	// answers is the scheduler's side of the shortened grant syncs.
	answers *grantdelta.Answerer
}

func (s *schedulerProc) boot() {
	s.alive, s.life = true, s.life+1
	identity := fmt.Sprintf("%s#%d", s.name, s.life)
	s.core = New(s.now(), Settings{Name: s.name, Identity: identity, Domain: worldDomain}, newEngine())
	s.core.SetConfig(s.now(), 1, worldConfig())
	s.answers = grantdelta.NewAnswerer(identity)
	s.world.every(&s.proc, TickInterval, s.tick)
	s.world.every(&s.proc, lease.RenewEvery, s.renew)
	s.world.every(&s.proc, lease.RenewEvery, s.renewPeer)
}

// tick leaves out the ticks that the core does not need, as schedulerd does.
func (s *schedulerProc) tick() {
	s.step(func(now time.Duration) {
		if now-s.ticked < RestInterval && now >= s.ticked && s.core.AtRest(now) {
			return
		}
		s.ticked = now
		s.core.Tick(now)
	})
}

func (s *schedulerProc) crash() { s.alive = false }

func (s *schedulerProc) now() time.Duration { return s.clock(s.world.now) }

// step steps the core and carries out its actions.
func (s *schedulerProc) step(f func(now time.Duration)) {
	f(s.now())
	for _, a := range s.core.TakeActions() {
		s.perform(a)
	}
}

func (s *schedulerProc) perform(a Action) {
	w := s.world
	switch a := a.(type) {
	case SendAttach:
		r := AttachResult{Target: a.Target, Body: a.Body}
		command(s, "attach", a.Target, func(h *workerProc) workerapi.AttachAnswer { return h.attach(&a.Body) },
			func(answer workerapi.AttachAnswer, failed bool) {
				r.Answer, r.Failed = answer, failed
				s.step(func(now time.Duration) { s.core.AttachAnswered(now, r) })
			})
	case SendStart:
		r := StartResult{Target: a.Target, Ref: workerapi.TaskRef{ID: a.Body.ID, Attempt: a.Body.Attempt}}
		command(s, "start", a.Target, func(h *workerProc) workerapi.CommandAnswer { return h.machine.Start(h.now(), &a.Body) },
			func(answer workerapi.CommandAnswer, failed bool) {
				r.Answer, r.Failed = answer, failed
				s.step(func(now time.Duration) { s.core.StartAnswered(now, r) })
			})
	case SendStop:
		r := StopResult{Target: a.Target, Ref: workerapi.TaskRef{ID: a.Body.ID, Attempt: a.Body.Attempt}}
		command(s, "stop", a.Target, func(h *workerProc) workerapi.CommandAnswer { return h.machine.Stop(h.now(), &a.Body) },
			func(answer workerapi.CommandAnswer, failed bool) {
				r.Answer, r.Failed = answer, failed
				s.step(func(now time.Duration) { s.core.StopAnswered(now, r) })
			})
	case SendReports:
		finish := func(recorded bool) {
			s.step(func(now time.Duration) { s.core.ReportsAnswered(now, a.Epoch, a.Batch, recorded) })
		}
		call(w, "report", &s.proc, &w.control.proc, func() bool { return w.control.report(s.name, a) }, finish,
			func() { finish(false) })
	case SyncFromStart:
		s.sync++
		s.after = 0
		s.follow(s.sync, a.Epoch)
	case StopSync:
		s.sync++
	}
}

// command calls a worker; done gets the answer or failed.
func command[R any](s *schedulerProc, label string, t Target, handle func(*workerProc) R, done func(answer R, failed bool)) {
	var none R
	for _, h := range s.world.workers {
		if h.address() == t.Address {
			call(s.world, label, &s.proc, &h.proc, func() R { return handle(h) },
				func(answer R) { done(answer, false) }, func() { done(none, true) })
			return
		}
	}
	s.world.after(callTimeout, func() { done(none, true) })
}

func (s *schedulerProc) follow(sync int, epoch uint64) {
	if s.sync != sync {
		return
	}
	w, after := s.world, s.after
	// The link to control takes in one answer for each request; a repeated answer
	// would start a second chain of requests with an older index.
	taken := false
	again := func() {
		w.after(100*time.Millisecond, func() { w.on(&s.proc, s.life, func() { s.follow(sync, epoch) }) })
	}
	call(w, "sync", &s.proc, &w.control.proc, func() *syncAnswer { return w.control.sync(epoch, after) },
		func(answer *syncAnswer) {
			if taken {
				return
			}
			taken = true
			if answer != nil && s.sync == sync {
				s.after = answer.index
				s.step(func(now time.Duration) { s.core.SyncTasks(now, epoch, answer.tasks, after == 0) })
			}
			again()
		}, again)
}

func (s *schedulerProc) renew() {
	sent := s.now()
	request, ask := s.core.LeaseRequest(sent)
	if !ask {
		return
	}
	call(s.world, "renew", &s.proc, &s.world.control.proc,
		func() lease.Answer { return s.world.control.renew(s.name, request) },
		func(a lease.Answer) { s.step(func(now time.Duration) { s.core.ControlRenewed(now, sent, a) }) }, func() {})
}

func (s *schedulerProc) renewPeer() {
	epoch, standby, ask := s.core.PeerRequest()
	if !ask {
		return
	}
	sent := s.now()
	for _, peer := range s.world.schedulers {
		if peer.name != standby {
			continue
		}
		call(s.world, "peer", &s.proc, &peer.proc,
			func() PeerGrant { return peer.core.GrantPeer(peer.now(), s.name, epoch, lease.SchedulerLease) },
			func(g PeerGrant) {
				if g.Granted {
					s.core.PeerRenewed(sent, standby, epoch, lease.SchedulerLease)
				}
			}, func() {})
	}
}

// workerProc runs the machine of a stand-in worker.
type workerProc struct {
	proc
	world    *world
	machine  *machine.Machine
	slots    int
	draining bool
	// identities and due are of each scheduler, from its last answer.
	identities map[string]string
	due        map[string]time.Duration
}

func (h *workerProc) now() time.Duration { return h.clock(h.world.now) }
func (h *workerProc) address() string    { return fmt.Sprintf("%s:%d", h.name, h.life) }

func (h *workerProc) boot() {
	h.alive, h.life = true, h.life+1
	h.machine = machine.New(machine.Settings{
		Name: h.name, Incarnation: fmt.Sprint(h.life), Slots: h.slots,
		Capacity: workerapi.Resources{CPUMillis: 5000, MemoryMB: 1000},
	}, h.record)
	h.identities, h.due = map[string]string{}, map[string]time.Duration{}
	h.world.every(&h.proc, time.Second, h.beat)
	h.world.every(&h.proc, 20*time.Millisecond, func() { h.machine.Advance(h.now(), 20*time.Millisecond) })
}

// crash ends the process and with it what it runs.
func (h *workerProc) crash() {
	h.alive = false
	for task, on := range h.world.running {
		if on == h.address() {
			delete(h.world.running, task)
		}
	}
}

// record asserts that no task runs in two places. A frozen worker notices the end
// of a lease only when it wakes up, but does no work before.
func (h *workerProc) record(e machine.Event) {
	w := h.world
	switch e.Kind {
	case machine.TaskStart:
		w.starts[e.Task]++
		if on, twice := w.running[e.Task]; twice && !w.asleep(on, e.Task) {
			w.fail("task %s starts on %s while it runs on %s", e.Task, h.address(), on)
		}
		w.running[e.Task] = h.address()
	case machine.TaskStop, machine.TaskDone, machine.TaskFailed:
		if w.running[e.Task] == h.address() {
			delete(w.running, e.Task)
		}
	}
}

// asleep reports whether a worker is frozen, so that it does no work and stops
// its attempts by their leases before it does any.
func (w *world) asleep(address, _ string) bool {
	for _, h := range w.workers {
		if h.address() == address {
			return w.now < h.frozen
		}
	}
	return true
}

func (h *workerProc) attach(c *workerapi.Attach) workerapi.AttachAnswer {
	answer := h.machine.Attach(h.now(), c)
	if answer.Accepted {
		clear(h.due)
		life := h.life
		h.world.after(0, func() { h.world.on(&h.proc, life, h.beat) })
	}
	return answer
}

func (h *workerProc) beat() {
	for _, s := range h.world.schedulers {
		if h.world.now < h.due[s.name] {
			continue
		}
		hb := &workerapi.Heartbeat{
			Domain: worldDomain, Rack: "r1", Address: h.address(), Connections: 8 * h.slots, Services: []string{"proof"},
		}
		h.machine.Heartbeat(h.now(), hb)
		hb.Draining = h.draining
		if holder, last := h.machine.TaskHolder(), h.identities[s.name]; holder != "" && last != "" && last != holder {
			hb.Tasks, hb.WithoutTasks = nil, true
		}
		sent := h.world.now
		call(h.world, "heartbeat", &h.proc, &s.proc, func() *workerapi.HeartbeatAnswer {
			var answer *workerapi.HeartbeatAnswer
			s.step(func(now time.Duration) {
				if a, err := s.core.Heartbeat(now, hb); err == nil {
					answer = &a
				}
			})
			return answer
		}, func(a *workerapi.HeartbeatAnswer) {
			if a != nil {
				h.identities[s.name] = a.Scheduler
				h.due[s.name] = sent + time.Duration(a.IntervalMS)*time.Millisecond
				h.machine.Answered(h.now(), hb, a)
			}
		}, func() {})
	}
}

func worldConfig() config.Config {
	return config.Config{
		Services: []config.Service{{Name: "proof", PerSlot: config.Resources{CPUMillis: 100, MemoryMB: 50}}},
		Jobs:     []config.Job{{Name: "batch", MaxAttempts: 3, Checkpoints: true}},
	}
}
