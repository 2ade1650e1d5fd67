// Package experiments measures scheduling policies on focused scenarios. A
// scenario drives an engine directly through a small fake of the worker side in
// virtual time.
package experiments

import (
	"fmt"
	"math/rand/v2"
	"time"

	"geraniumwall/config"
	"geraniumwall/experiments/fake"
	"geraniumwall/policy"
	"geraniumwall/workerapi"
)

// Policy is an engine under test.
type Policy struct {
	Name string
	New  func(seed uint64) policy.Engine
	// Split is the part of the fleet that only serves; 0 shares all workers.
	Split float64
}

// Event happens once in a scenario.
type Event struct {
	At time.Duration
	Do func(r *run)
}

// Scenario is one situation at the size of a deployment.
type Scenario struct {
	Name     string
	Spec     func(seed uint64) fake.Spec
	Duration time.Duration
	// Demand is the offered work as a part of the capacity for tasks; it may
	// change with time.
	Demand func(now time.Duration) float64
	// Urgent is the number of urgent tasks a second.
	Urgent float64
	Events []Event
	// Each job gets its part of the demand by weight; nil is equal parts.
	Weights map[string]float64
	// Configure changes the configuration of the engines.
	Configure func(*config.Config)
}

// Result is the measurement of one run.
type Result struct {
	// P99 is the tail latency of each service in microseconds.
	P99 []int64
	// Done and Lost are core-seconds of batch work.
	Done, Lost  float64
	Evictions   int
	Throttles   int
	Totals      fake.Totals
	UrgentDelay time.Duration
	UrgentCount int
	// LongestWait is the longest wait of any task for its first start.
	LongestWait time.Duration
	// TasksFailed counts tasks that failed for good, Unschedulable, by job, those that
	// the engine reported as unschedulable.
	TasksFailed   int
	Unschedulable map[string]int
	Submitted     int
	Decisions     map[string]int
	Starts        int
	// DoneBy and OfferedBy are core-seconds of completed and submitted tasks by
	// team, as declared; WaitBy is the longest wait by job.
	DoneBy    map[string]float64
	OfferedBy map[string]float64
	WaitBy    map[string]time.Duration
	// RackShare is the largest part of the tasks of a job that ran in one rack,
	// as a mean over the run.
	RackShare float64
	racked    int
	// WorstMinute is the largest number of evictions in one minute.
	WorstMinute int
	thisMinute  int
}

const (
	maxAttempts = 3
	allDomains  = -1
)

// run is the state of one run.
type run struct {
	scenario *Scenario
	spec     fake.Spec
	fleet    *fake.Fleet
	engine   policy.Engine
	random   *rand.Rand
	now      time.Duration
	tasks    map[string]policy.Task
	order    []string
	waiting  map[string]bool
	debt     map[string]float64
	next     int
	racks    map[string]string
	placed   map[string]string
	result   Result
}

// Run measures one policy in a scenario. A nil engine runs services alone.
func Run(s *Scenario, p Policy, seed uint64, c config.Config) Result {
	spec := s.Spec(seed)
	spec.Split = p.Split
	r := &run{
		scenario: s, spec: spec, fleet: fake.New(spec), random: rand.New(rand.NewPCG(seed, 99)),
		tasks: map[string]policy.Task{}, waiting: map[string]bool{}, debt: map[string]float64{},
		racks: map[string]string{}, placed: map[string]string{},
		result: Result{Unschedulable: map[string]int{}, Decisions: map[string]int{}, DoneBy: map[string]float64{},
			OfferedBy: map[string]float64{}, WaitBy: map[string]time.Duration{}},
	}
	if p.New != nil {
		r.engine = p.New(seed)
		r.engine.SetConfig(0, c)
		for _, w := range r.fleet.Workers(allDomains) {
			r.engine.UpsertWorker(0, w)
			r.racks[w.ID] = w.Rack
		}
	}
	for r.now = fake.Tick; r.now <= s.Duration; r.now += fake.Tick {
		events := r.fleet.Step(r.now)
		if r.engine != nil {
			r.deliver(&events)
			r.happen()
			r.arrive()
			r.schedule()
			r.react()
			r.sampleRacks()
		}
	}
	return r.finish()
}

func (r *run) finish() Result {
	r.result.Totals = r.fleet.Totals
	r.result.Done, r.result.Lost = r.fleet.Totals.Done, r.fleet.Totals.Lost
	for _, h := range r.fleet.Totals.Latency {
		r.result.P99 = append(r.result.P99, h.ValueAtQuantile(99))
	}
	for id := range r.waiting {
		r.waited(r.tasks[id])
	}
	return r.result
}

func (r *run) deliver(events *fake.Events) {
	for _, e := range events.Ended {
		r.ended(e)
	}
	for _, report := range events.Reports {
		r.engine.ReportService(r.now, report.Worker, report.ServiceReport)
	}
	for _, u := range events.Usages {
		r.engine.ReportUsage(r.now, u.Worker, u.Usage)
	}
}

// ended tells the engine and puts the task back unless it is over.
func (r *run) ended(e fake.Ended) {
	r.engine.Ended(r.now, e.Task.ID, e.Worker, e.Outcome)
	delete(r.placed, e.Task.ID)
	t := r.tasks[e.Task.ID]
	switch e.Outcome {
	case policy.OutcomeDone, policy.OutcomeCancelled:
		r.result.DoneBy[t.Team] += declaredWork(&t)
		delete(r.tasks, t.ID)
		return
	case policy.OutcomeFailed:
		t.Failures++
	case policy.OutcomeEvicted, policy.OutcomeLost:
		t.Evictions++
	}
	if t.Failures >= maxAttempts {
		r.result.TasksFailed++
		delete(r.tasks, t.ID)
		return
	}
	r.tasks[t.ID] = t
	r.waiting[t.ID] = true
	r.engine.Enqueue(r.now, t)
}

func (r *run) happen() {
	for _, e := range r.scenario.Events {
		if e.At == r.now {
			e.Do(r)
		}
	}
}

// arrive submits tasks so that each job gets its part of the demand.
func (r *run) arrive() {
	offered := r.spec.Capacity.Minus(r.spec.Reserved).CPUMillis * int64(r.spec.Workers)
	demand := r.scenario.Demand(r.now) * float64(offered) / 1000 * fake.Tick.Seconds()
	total := 0.0
	for i := range r.spec.Jobs {
		total += r.weight(&r.spec.Jobs[i])
	}
	for i := range r.spec.Jobs {
		j := &r.spec.Jobs[i]
		if j.Priority == config.Urgent {
			r.debt[j.Name] += r.scenario.Urgent * fake.Tick.Seconds() * 2 * r.random.Float64()
		} else {
			cost := float64(j.Declared.CPUMillis) / 1000 * j.Expected.Seconds()
			r.debt[j.Name] += 2 * r.random.Float64() * demand * r.weight(j) / total / cost
		}
		for ; r.debt[j.Name] >= 1; r.debt[j.Name]-- {
			r.submit(j)
		}
	}
}

func (r *run) weight(j *fake.Job) float64 {
	if j.Priority == config.Urgent {
		return 0
	}
	if r.scenario.Weights == nil {
		return 1
	}
	return r.scenario.Weights[j.Name]
}

func (r *run) submit(j *fake.Job) {
	r.next++
	t := policy.Task{
		ID: fmt.Sprintf("t%06d", r.next), Team: j.Team, Job: j.Name, Priority: j.Priority, Size: j.Declared,
		Expected: j.Expected, Enqueued: r.now, Checkpoints: j.Checkpoints,
	}
	r.result.Submitted++
	r.result.OfferedBy[t.Team] += declaredWork(&t)
	r.tasks[t.ID] = t
	r.order = append(r.order, t.ID)
	r.waiting[t.ID] = true
	r.engine.Enqueue(r.now, t)
}

// declaredWork is the size of a task in core-seconds.
func declaredWork(t *policy.Task) float64 {
	return float64(t.Size.CPUMillis) / 1000 * t.Expected.Seconds()
}

// Sampling of how jobs spread over racks.
const (
	sampleRacksEvery = 10 * time.Second
	leastTasks       = 8
)

func (r *run) sampleRacks() {
	if r.now%sampleRacksEvery != 0 {
		return
	}
	total, inRack := map[string]int{}, map[[2]string]int{}
	for id, on := range r.placed {
		job := r.tasks[id].Job
		total[job]++
		inRack[[2]string{job, r.racks[on]}]++
	}
	largest := 0.0
	for key, n := range inRack {
		if total[key[0]] >= leastTasks {
			largest = max(largest, float64(n)/float64(total[key[0]]))
		}
	}
	if largest > 0 {
		r.result.RackShare += (largest - r.result.RackShare) / float64(r.result.racked+1)
		r.result.racked++
	}
}

// startsPerTick limits the proposals of one call.
const startsPerTick = 128

func (r *run) schedule() {
	placements, unschedulable := r.engine.ProposeStarts(r.now, startsPerTick)
	for _, p := range placements {
		r.start(p)
	}
	for _, i := range unschedulable {
		if !r.waiting[i.Task] {
			continue
		}
		r.result.Unschedulable[r.tasks[i.Task].Job]++
		r.drop(i.Task)
	}
	for _, d := range r.engine.TakeDecisions() {
		r.result.Decisions[d.Kind]++
	}
}

func (r *run) drop(id string) {
	r.engine.Dequeue(r.now, id)
	delete(r.waiting, id)
	delete(r.tasks, id)
}

func (r *run) start(p policy.Placement) {
	t := r.tasks[p.Task]
	size := p.Size
	if size == (workerapi.Resources{}) {
		size = t.Size
	}
	if !r.fleet.Start(r.now, t, size, p.Worker) {
		r.engine.Rejected(r.now, p.Task, p.Worker)
		return
	}
	delete(r.waiting, t.ID)
	r.placed[t.ID] = p.Worker
	reserved := t
	reserved.Size = size
	r.engine.Started(r.now, reserved, p.Worker)
	r.result.Starts++
	if t.Evictions > 0 || t.Failures > 0 {
		return
	}
	waited := r.waited(t)
	if t.Priority == config.Urgent {
		r.result.UrgentCount++
		r.result.UrgentDelay = max(r.result.UrgentDelay, waited)
	}
}

func (r *run) react() {
	if r.now%time.Minute == 0 {
		r.result.thisMinute = 0
	}
	for _, reaction := range r.engine.ProposeReactions(r.now) {
		switch reaction.Kind {
		case policy.Throttle:
			r.result.Throttles++
			r.fleet.Throttle(r.now, reaction.Task, reaction.Share)
		case policy.Evict:
			r.result.Evictions++
			r.result.thisMinute++
			r.result.WorstMinute = max(r.result.WorstMinute, r.result.thisMinute)
			r.fleet.Evict(r.now, reaction.Task)
		}
	}
}

func (r *run) waited(t policy.Task) time.Duration {
	waited := r.now - t.Enqueued
	r.result.LongestWait = max(r.result.LongestWait, waited)
	r.result.WaitBy[t.Job] = max(r.result.WaitBy[t.Job], waited)
	return waited
}

// cancel removes a part of all tasks at once.
func (r *run) cancel(part float64) {
	kept := r.order[:0]
	for _, id := range r.order {
		if _, alive := r.tasks[id]; !alive {
			continue
		}
		if r.random.Float64() >= part || r.tasks[id].Priority == config.Urgent {
			kept = append(kept, id)
			continue
		}
		if on, ran := r.fleet.Cancel(id); ran {
			delete(r.placed, id)
			r.engine.Ended(r.now, id, on, policy.OutcomeCancelled)
		} else {
			r.engine.Dequeue(r.now, id)
		}
		delete(r.waiting, id)
		delete(r.tasks, id)
	}
	r.order = kept
}

// lose cuts a domain off; its workers leave and its tasks wait again.
func (r *run) lose(domain int) {
	for _, w := range r.fleet.Workers(domain) {
		r.engine.RemoveWorker(r.now, w.ID)
	}
	events := r.fleet.Lose(domain)
	r.deliver(&events)
}

// restore brings a lost domain back.
func (r *run) restore(domain int) {
	r.fleet.Restore(domain)
	for _, w := range r.fleet.Workers(domain) {
		r.engine.UpsertWorker(r.now, w)
	}
}
