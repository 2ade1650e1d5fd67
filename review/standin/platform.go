package main

import (
	"fmt"
	"sync"
	"time"
)

// phase is a step of a job, with the names of the wire.
type phase struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu,omitempty"`
	MemMB         int64  `json:"mem-mb,omitempty"`
	EstimateMS    int64  `json:"estimate-ms,omitempty"`
	DependsOn     []int  `json:"depends-on,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	LongRunning   bool   `json:"long-running,omitempty"`
	Constraints   string `json:"constraints,omitempty"`
	Image         string `json:"image,omitempty"`
	// work is how long a task works, in milliseconds. It is not sent.
	work int64
}

// job is a job as its requester knows it.
type job struct {
	id     string
	spec   string
	phases []phase
}

// Times of the platform (SYSTEM.md).
const (
	checkpointEvery = 500 * time.Millisecond
	restoreTime     = 600 * time.Millisecond
	gangTimeout     = 3 * time.Second
	stopTime        = stopMS * time.Millisecond
	startupTime     = 500 * time.Millisecond
	workTick        = 20 * time.Millisecond
)

type taskName struct {
	job              string
	k, phase, member int
}

func (n taskName) String() string { return fmt.Sprintf("%s.%d.%d.%d", n.job, n.k, n.phase, n.member) }

// gangName identifies one run of a gang.
type gangName struct {
	job              string
	k, phase, number int
}

// run is a run of a task on a worker.
type run struct {
	name       taskName
	attempt    int
	worker     *worker
	phase      *phase
	startedAt  time.Time
	worksFrom  time.Time
	progress   time.Duration
	checkpoint string
	given      string
	stopAt     time.Time
}

// platform is what all workers share. Its lock guards the workers too.
type platform struct {
	mu      sync.Mutex
	rec     *record
	jobs    map[string]*job
	workers []*worker
	// runs are the runs of each task that are under way.
	runs map[taskName][]*run
	// starts counts the starts of each task; lastEnd is when its last run ended.
	starts  map[taskName]int
	lastEnd map[taskName]time.Time
	done    map[taskName]bool
	failed  map[taskName]int
	// gangStarts are the checkpoints with which the members of a run of a gang were started.
	gangStarts map[gangName]map[int]string
	// produced are the checkpoints that the members of a gang have produced.
	produced map[gangName]map[string]bool
	closed   bool
}

func newPlatform(rec *record) *platform {
	p := &platform{
		rec: rec, jobs: map[string]*job{}, runs: map[taskName][]*run{}, starts: map[taskName]int{}, lastEnd: map[taskName]time.Time{},
		done: map[taskName]bool{}, failed: map[taskName]int{}, gangStarts: map[gangName]map[int]string{}, produced: map[gangName]map[string]bool{},
	}
	go p.work()
	return p
}

// know takes in a job before its requester sends it.
func (p *platform) know(j *job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.jobs[j.id] = j
}

// checkpointText is the value that a task produces after some work. Members of a gang
// produce the same value after the same work.
func checkpointText(n taskName, work time.Duration) string {
	return fmt.Sprintf("%08x%s", work.Milliseconds(), n.job[:8])
}

func checkpointWork(text string) time.Duration {
	var ms int64
	if _, err := fmt.Sscanf(text[:min(8, len(text))], "%x", &ms); err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// work moves all runs on until the platform is closed.
func (p *platform) work() {
	last := time.Now()
	for {
		time.Sleep(workTick)
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return
		}
		now := time.Now()
		for _, w := range p.workers {
			w.expire(now)
		}
		p.advance(now, now.Sub(last))
		last = now
		p.mu.Unlock()
	}
}

func (p *platform) advance(now time.Time, elapsed time.Duration) {
	var all []*run
	for _, list := range p.runs {
		all = append(all, list...)
	}
	for _, r := range all {
		if !p.underWay(r) {
			continue
		}
		switch {
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			p.end(r, "stopped")
		case r.phase.Gang && !p.gangPresent(r):
			if now.Sub(r.startedAt) > gangTimeout {
				p.end(r, "alone")
			}
		default:
			p.advanceRun(r, now, elapsed)
		}
	}
}

func (p *platform) advanceRun(r *run, now time.Time, elapsed time.Duration) {
	if now.Before(r.worksFrom) {
		return
	}
	before := r.progress
	r.progress += elapsed
	if r.phase.Checkpointing && r.progress/checkpointEvery > before/checkpointEvery {
		r.checkpoint = checkpointText(r.name, r.progress/checkpointEvery*checkpointEvery)
		p.noteProduced(r, r.checkpoint)
	}
	if !r.phase.LongRunning && r.progress >= time.Duration(r.phase.work)*time.Millisecond {
		p.end(r, "done")
	}
}

func (p *platform) noteProduced(r *run, text string) {
	g := gangName{r.name.job, r.name.k, r.name.phase, 0}
	if p.produced[g] == nil {
		p.produced[g] = map[string]bool{}
	}
	p.produced[g][text] = true
}

func (p *platform) underWay(r *run) bool {
	for _, other := range p.runs[r.name] {
		if other == r {
			return true
		}
	}
	return false
}

// gangPresent reports whether all members of the run of a gang are there.
func (p *platform) gangPresent(r *run) bool {
	for i := range r.phase.Count {
		present := false
		for _, other := range p.runs[taskName{r.name.job, r.name.k, r.name.phase, i}] {
			present = present || other.attempt == r.attempt
		}
		if !present {
			return false
		}
	}
	return true
}

// remove takes a run out without an end in the list of its worker.
func (p *platform) remove(r *run) {
	list := p.runs[r.name]
	for i, other := range list {
		if other == r {
			p.runs[r.name] = append(list[:i:i], list[i+1:]...)
		}
	}
	p.lastEnd[r.name] = time.Now()
	delete(r.worker.running, r.name)
}

// end ends a run. The other members of a gang end with it.
func (p *platform) end(r *run, how string) {
	if how == "stopped" && r.phase.Checkpointing && r.progress > 0 {
		r.checkpoint = checkpointText(r.name, r.progress)
		p.noteProduced(r, r.checkpoint)
	}
	whole := r.phase.Gang && p.gangPresent(r)
	p.remove(r)
	w := r.worker
	w.barred[r.name] = max(w.barred[r.name], r.attempt)
	w.ends++
	w.finished = append(w.finished, finished{w.ends, r.name, r.attempt, how, r.checkpoint})
	p.rec.add("%s: run %d of %v ends %s, saved %q", w.id, r.attempt, r.name, how, r.checkpoint)
	switch how {
	case "done":
		p.done[r.name] = true
	case "failed":
		p.failed[r.name]++
	}
	close(w.changed)
	w.changed = make(chan struct{})
	if whole {
		p.endGang(r, how)
	}
}

// endGang ends the other members after one of a gang that worked has ended.
func (p *platform) endGang(r *run, how string) {
	if how != "done" {
		how = "broken"
	}
	for i := range r.phase.Count {
		for _, other := range append([]*run{}, p.runs[taskName{r.name.job, r.name.k, r.name.phase, i}]...) {
			if other.attempt == r.attempt {
				p.end(other, how)
			}
		}
	}
}

// noteStart checks a start: the job is known, its spec is that of the requester, and all
// members of a run of a gang carry the same checkpoint.
func (p *platform) noteStart(w *worker, n taskName, attempt int, spec, checkpoint string) *phase {
	p.rec.add("%s: start of run %d of %v, checkpoint %q", w.id, attempt, n, checkpoint)
	j := p.jobs[n.job]
	if j == nil || n.phase >= len(j.phases) || n.member >= j.phases[n.phase].Count || j.spec != spec {
		p.rec.breach("UNASKED: %s is told to start %v, which no requester sent", w.id, n)
		return nil
	}
	ph := &j.phases[n.phase]
	if len(p.runs[n]) > 0 {
		p.rec.breach("TWICE: run %d of %v starts on %s while run %d is at work on %s", attempt, n, w.id, p.runs[n][0].attempt, p.runs[n][0].worker.id)
	}
	p.starts[n]++
	if ph.Gang {
		p.checkGang(n, attempt, checkpoint)
	}
	return ph
}

func (p *platform) checkGang(n taskName, attempt int, checkpoint string) {
	g := gangName{n.job, n.k, n.phase, attempt}
	if p.gangStarts[g] == nil {
		p.gangStarts[g] = map[int]string{}
	}
	for member, other := range p.gangStarts[g] {
		if other != checkpoint {
			p.rec.breach("UNASKED: run %d of gang %s.%d.%d: member %d is told to start with checkpoint %q, member %d with %q",
				attempt, n.job, n.k, n.phase, n.member, checkpoint, member, other)
			break
		}
	}
	p.gangStarts[g][n.member] = checkpoint
	if every := (gangName{n.job, n.k, n.phase, 0}); checkpoint != "" && !p.produced[every][checkpoint] {
		p.rec.breach("UNASKED: run %d of %v is told to start with checkpoint %q, which no member has produced", attempt, n, checkpoint)
	}
}

func (p *platform) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}
