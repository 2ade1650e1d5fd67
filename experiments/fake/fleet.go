package fake

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"geraniumwall/policy"
	"geraniumwall/workerapi"
)

// Times of the fake.
const (
	Tick            = 250 * time.Millisecond
	reportEvery     = 2 * time.Second
	usageEvery      = 5 * time.Second
	usageLag        = 2 * time.Second
	shortestDelay   = 2 * time.Second
	longestDelay    = 30 * time.Second
	commandDelay    = 500 * time.Millisecond
	startUp         = time.Second
	failsAfter      = time.Second
	checkpointEvery = 30 * time.Second
	requestsPerTick = 10
	requestsPerRep  = 300
)

// Spec is the shape of a fleet.
type Spec struct {
	Seed     uint64
	Workers  int
	Domains  int
	RackSize int
	Capacity workerapi.Resources
	Reserved workerapi.Resources
	Services []Service
	Jobs     []Job
	// Load is the load of a service, 0 to 1, before differences between workers.
	Load func(now time.Duration, domain, service int) float64
	// Split is the part of the workers that serve while the others run tasks; 0
	// lets all do both.
	Split float64
	// Broken workers fail every task.
	Broken func(now time.Duration, worker int) bool
	// SwapAt is the time at which the first two services swap what slows them.
	SwapAt time.Duration
}

// running is an attempt on a worker.
type running struct {
	task     policy.Task
	spec     *Job
	worker   *worker
	reserved workerapi.Resources
	used     workerapi.Resources
	work     time.Duration
	progress time.Duration
	saved    time.Duration
	started  time.Duration
	share    float64
	faulty   bool
	evictAt  time.Duration
	wanted   float64
	shareAt  time.Duration
}

type worker struct {
	policy.Worker
	number   int
	domain   int
	tasks    []*running
	offset   []float64
	loads    []float64
	slowdown []float64
	lost     bool
}

// Ended is the end of an attempt.
type Ended struct {
	Task    policy.Task
	Worker  string
	Outcome policy.Outcome
}

// Report is a service report that arrives now.
type Report struct {
	Worker string
	workerapi.ServiceReport
}

// UsageReport is a usage report that arrives now.
type UsageReport struct {
	Worker string
	policy.Usage
}

// Events is what reaches the scheduler in one tick.
type Events struct {
	Ended   []Ended
	Reports []Report
	Usages  []UsageReport
}

// Fleet is the worker side.
type Fleet struct {
	spec    Spec
	truth   truth
	jobs    map[string]*Job
	workers []*worker
	byID    map[string]*worker
	tasks   map[string]*running
	// saved is the checkpointed progress of tasks that wait.
	saved   map[string]time.Duration
	load    *rand.Rand
	latency *rand.Rand
	delay   *rand.Rand
	queue   map[time.Duration][]Report
	Totals  Totals
}

// Totals are the measurements of a run.
type Totals struct {
	Latency []*hdrhistogram.Histogram
	// Done and Lost are core-seconds.
	Done, Lost float64
	// OutOfMemory counts tasks killed because the memory of a host was exceeded.
	OutOfMemory    int
	Overcommitted  int
	FailedAttempts int
	FailedOnBroken int
	Completed      int
	Attempts       int
}

// New builds a fleet; the same spec gives the same fleet.
func New(spec Spec) *Fleet {
	hidden := rand.New(rand.NewPCG(spec.Seed, 1))
	f := &Fleet{
		spec: spec, truth: newTruth(hidden, spec.Services, spec.Jobs),
		jobs: map[string]*Job{}, byID: map[string]*worker{}, tasks: map[string]*running{},
		saved: map[string]time.Duration{}, queue: map[time.Duration][]Report{},
		load:    rand.New(rand.NewPCG(spec.Seed, 2)),
		latency: rand.New(rand.NewPCG(spec.Seed, 3)),
		delay:   rand.New(rand.NewPCG(spec.Seed, 4)),
	}
	for i := range spec.Jobs {
		f.jobs[spec.Jobs[i].Name] = &spec.Jobs[i]
	}
	for range spec.Services {
		f.Totals.Latency = append(f.Totals.Latency, hdrhistogram.New(1, 60_000_000, 3))
	}
	for i := range spec.Workers {
		f.addWorker(i)
	}
	return f
}

func (f *Fleet) addWorker(i int) {
	domain := i * f.spec.Domains / f.spec.Workers
	w := &worker{number: i, domain: domain, Worker: policy.Worker{
		ID: fmt.Sprintf("w%03d", i), Domain: fmt.Sprintf("d%d", domain), Rack: fmt.Sprintf("r%02d", i/f.spec.RackSize),
		Capacity: f.spec.Capacity, Reserved: f.spec.Reserved, Accepting: true,
	}}
	serves := float64(i%10) < f.spec.Split*10
	if f.spec.Split > 0 {
		w.Accepting = !serves
	}
	if f.spec.Split > 0 && !serves {
		w.Reserved = workerapi.Resources{}
	}
	// A worker offers one service; neighbours in the list offer different ones.
	own := i % len(f.spec.Services)
	if f.spec.Split == 0 || serves {
		w.Services = []string{f.spec.Services[own].Name}
	}
	for range f.spec.Services {
		w.offset = append(w.offset, 0.9+0.2*f.load.Float64())
		w.loads = append(w.loads, 0)
		w.slowdown = append(w.slowdown, 1)
	}
	f.workers = append(f.workers, w)
	f.byID[w.ID] = w
}

// Workers describes the workers of a domain, or all if it is negative.
func (f *Fleet) Workers(domain int) []policy.Worker {
	var list []policy.Worker
	for _, w := range f.workers {
		if domain < 0 || w.domain == domain {
			list = append(list, w.Worker)
		}
	}
	return list
}

// Step advances the fleet by one tick that ends now.
func (f *Fleet) Step(now time.Duration) Events {
	var out Events
	if f.spec.SwapAt > 0 && now == f.spec.SwapAt {
		f.truth.swap(f.spec.Services[0].Name, f.spec.Services[1].Name)
	}
	for _, w := range f.workers {
		f.serve(now, w)
		f.work(now, w, &out)
		f.usages(now, w, &out)
	}
	out.Reports = f.queue[now]
	delete(f.queue, now)
	return out
}

// own is the number of the service that a worker offers, or -1.
func (f *Fleet) own(w *worker) int {
	if len(w.Services) == 0 {
		return -1
	}
	return w.number % len(f.spec.Services)
}

// serve draws the requests of one tick. The draws don't depend on the tasks, so
// that all policies face the same requests.
func (f *Fleet) serve(now time.Duration, w *worker) {
	s := f.own(w)
	if s < 0 || w.lost {
		return
	}
	factor := 1.0
	if f.spec.Split > 0 {
		factor = 1 / f.spec.Split
	}
	noise := 0.03 * f.load.NormFloat64()
	load := min(max(factor*f.spec.Load(now, w.domain, s)*w.offset[s]+noise, 0.02), 0.97)
	service := f.spec.Services[s]
	slowdown := f.truth.slowdown(service.Name, load, w.tasks, f.pressure(w))
	w.loads[s], w.slowdown[s] = load, slowdown
	p99 := baseP99(service, load) * slowdown
	for range int(math.Ceil(load * requestsPerTick)) {
		seconds := p99 * math.Exp(latencySigma*(f.latency.NormFloat64()-normalP99))
		_ = f.Totals.Latency[s].RecordValue(int64(seconds * 1e6))
	}
	if (now+time.Duration(w.number)*Tick)%reportEvery == 0 {
		f.report(now, w, s, p99)
	}
}

func (f *Fleet) report(now time.Duration, w *worker, s int, p99 float64) {
	count := int64(math.Ceil(w.loads[s] * requestsPerRep))
	measured := p99 * math.Exp(reportNoise*f.delay.NormFloat64()/math.Sqrt(float64(count)))
	late := shortestDelay + time.Duration(f.delay.Int64N(int64((longestDelay-shortestDelay)/Tick)))*Tick
	due := now + late
	f.queue[due] = append(f.queue[due], Report{Worker: w.ID, ServiceReport: workerapi.ServiceReport{
		Service: f.spec.Services[s].Name, AgeMS: late.Milliseconds(), Load: w.loads[s],
		P99US: int64(measured * 1e6), P50US: int64(measured * 1e6 / math.Exp(latencySigma*normalP99)), Count: count,
	}})
}

// pressure is used over available processors.
func (f *Fleet) pressure(w *worker) float64 {
	var used int64
	for _, r := range w.tasks {
		used += int64(float64(r.used.CPUMillis) * r.share)
	}
	return float64(used) / float64(w.Capacity.CPUMillis-w.Reserved.CPUMillis)
}
