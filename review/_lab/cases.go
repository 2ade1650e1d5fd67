package main

import (
	"fmt"
	"slices"
	"time"
)

// caseFunc plays a case and returns how often the rule was broken.
type caseFunc func(w *world, trouble bool) (broken int, err error)

var cases = map[string]caseFunc{
	"quorum":     quorum,
	"reserved":   reserved,
	"filler":     filler,
	"quarantine": quarantine,
}

// waitUntil sleeps until a time of the case.
func (w *world) waitUntil(at time.Duration) { time.Sleep(at - w.since()) }

// fits returns how many tasks of a step find room on the workers that are up and have the
// label it asks for.
func (w *world) fits(p phase) int {
	count := 0
	for _, s := range w.workers {
		s.mu.Lock()
		if s.life != nil && (p.Constraints == "" || slices.Contains(s.labels, p.Constraints)) {
			cpu, mem := s.cpu, s.mem
			for _, r := range s.life.running {
				cpu, mem = cpu-r.cpu, mem-r.mem
			}
			n := mem / p.MemMB
			if !p.Fills {
				n = min(n, cpu/p.CPU)
			}
			count += max(0, n)
		}
		s.mu.Unlock()
	}
	return count
}

// idleTasks returns the tasks of the jobs that have stood still for 3 s at the end of a
// watch: none of their runs went on, they have not ended as done, there was room for them
// twice over all the time, and under half of the capacity was in use.
func (w *world) idleTasks(jobs []*job, length time.Duration) []string {
	since := map[string]time.Duration{}
	found := map[string]bool{}
	for until := w.since() + length; w.since() < until; time.Sleep(100 * time.Millisecond) {
		for _, j := range jobs {
			for s, p := range j.phases {
				for i := range p.Count {
					name := fmt.Sprintf("%s.0.%d.%d", j.id, s, i)
					at := slices.ContainsFunc(w.taskRuns(j, s, i), func(r runRecord) bool { return r.how == "" || r.how == "done" })
					if at || w.fits(p) < 2 || w.use() >= 0.5 {
						delete(since, name)
						continue
					}
					if since[name] == 0 {
						since[name] = w.since()
					}
					if w.since()-since[name] >= 3*time.Second {
						found[name] = true
					}
				}
			}
		}
	}
	var list []string
	for name := range found {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// reportIdle writes what idleTasks has found and returns the number.
func (w *world) reportIdle(jobs []*job, length time.Duration) int {
	idle := w.idleTasks(jobs, length)
	for _, name := range idle {
		w.note("BROKEN: task %s has had nothing running for 3 s, with room for it twice over and %.0f%% of the capacity in use", name, 100*w.use())
	}
	return len(idle)
}

func accepted(list []*job) []*job {
	return slices.DeleteFunc(slices.Clone(list), func(j *job) bool { return j.outcome != "accepted" })
}

// start starts the system with workers of kind a, and some larger ones of kind b.
func (w *world) start(a, b int, routes ...route) error {
	if err := w.startSystem(); err != nil {
		return err
	}
	if err := w.addWorkers(a, "a", 32000); err != nil {
		return err
	}
	if err := w.addWorkers(b, "b", 48000); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if !w.configure(1, routes...) {
		return fmt.Errorf("the first configuration got no ack")
	}
	time.Sleep(3 * time.Second)
	return nil
}

// hand hands a job in.
func (w *world) hand(j *job) *job {
	remember(j)
	w.submit(j)
	return j
}

// traffic hands in a short job at a fixed interval until a time of the case.
func (w *world) traffic(until, every time.Duration, next func() *job) (wait func() []*job) {
	result := newCollection()
	go func() {
		for w.since() < until && w.ctx.Err() == nil {
			result.add(w, next())
			time.Sleep(every)
		}
		result.end()
	}()
	return result.wait
}

// collection is the jobs of one stream of traffic.
type collection struct {
	jobs chan *job
	done chan []*job
	open chan struct{}
}

func newCollection() *collection {
	c := &collection{jobs: make(chan *job, 4096), done: make(chan []*job, 1), open: make(chan struct{}, 4096)}
	return c
}

func (c *collection) add(w *world, j *job) {
	c.open <- struct{}{}
	go func() { c.jobs <- w.hand(j) }()
}

// end collects what was handed in.
func (c *collection) end() {
	var list []*job
	for range len(c.open) {
		list = append(list, <-c.jobs)
	}
	c.done <- list
}

func (c *collection) wait() []*job { return <-c.done }

// reserved: two workers of kind b; a task that lasts loses its worker for good and finds no
// room on the other one.
func reserved(w *world, trouble bool) (int, error) {
	short, lasting := newRoute("lohu930", 2, 1000, 4), newRoute("pule252", 0, 2500, 3)
	if err := w.start(46, 2, short, lasting); err != nil {
		return 0, err
	}
	large := w.hand(newJob(lasting, "last", phase{Count: 1, CPU: 40000, MemMB: 26000, EstimateMS: 500, Constraints: "b", LongRunning: true}))
	time.Sleep(2 * time.Second)
	small := w.hand(newJob(lasting, "last", phase{Count: 1, CPU: 20000, MemMB: 26000, EstimateMS: 500, Constraints: "b", LongRunning: true}))
	time.Sleep(2 * time.Second)
	if len(w.jobRuns(large)) != 1 || len(w.jobRuns(small)) != 1 {
		return 0, fmt.Errorf("the tasks that last have not started")
	}
	if trouble {
		w.lose(w.jobRuns(large)[0].worker)
	}
	time.Sleep(15 * time.Second)
	begin := w.since()
	wait := w.traffic(begin+15*time.Second, 1500*time.Millisecond, func() *job {
		return newJob(short, "done 800", phase{Count: 1, CPU: 4000, MemMB: 6000, EstimateMS: 800, Constraints: "b"})
	})
	other := w.traffic(begin+15*time.Second, time.Second, func() *job {
		return newJob(short, "done 800", phase{Count: 4, CPU: 3500, MemMB: 6000, EstimateMS: 800})
	})
	jobs := accepted(append(wait(), other()...))
	w.note("traffic ends: %d short jobs were accepted", len(jobs))
	time.Sleep(finishAfter)
	return w.reportIdle(w.unfinished(jobs), 4*time.Second), nil
}

// unfinished returns the jobs that are not shown as done.
func (w *world) unfinished(jobs []*job) []*job {
	var open []*job
	for _, j := range jobs {
		if state := w.state(j); state != "done" {
			w.note("job %s, accepted at %.3f, is shown as %s; %d runs", j.id, j.accepted.Seconds(), state, len(w.jobRuns(j)))
			open = append(open, j)
		}
	}
	return open
}

// lose ends a worker for good.
func (w *world) lose(id string) {
	w.note("worker %s is lost for good", id)
	w.worker(id).crash()
}

func (w *world) worker(id string) *worker {
	return w.workers[slices.IndexFunc(w.workers, func(s *worker) bool { return s.id == id })]
}

// filler: jobs whose tasks fill come at once; they ask for much memory.
func filler(w *world, trouble bool) (int, error) {
	short := newRoute("lohu930", 2, 1000, 4)
	if err := w.start(48, 0, short); err != nil {
		return 0, err
	}
	mem := 13000
	if trouble {
		mem = 112000
	}
	var jobs []*job
	for range 4 {
		jobs = append(jobs, w.hand(newJob(short, "done 1000", phase{Count: 1, CPU: 2000, MemMB: mem, EstimateMS: 1000, Fills: true, Image: "a"})))
	}
	time.Sleep(finishAfter)
	return w.reportIdle(w.unfinished(accepted(jobs)), 4*time.Second), nil
}

// quarantine: jobs that last on two workers of kind b; their tasks fail at times.
func quarantine(w *world, trouble bool) (int, error) {
	lasting := newRoute("pule252", 0, 2500, 3)
	if err := w.start(46, 2, lasting); err != nil {
		return 0, err
	}
	spec := "last"
	if trouble {
		spec = "fail 8000 24000"
	}
	var jobs []*job
	for range 8 {
		jobs = append(jobs, w.hand(newJob(lasting, spec, phase{Count: 1, CPU: 4000, MemMB: 13000, EstimateMS: 500, Constraints: "b", LongRunning: true})))
	}
	time.Sleep(90 * time.Second)
	broken := 0
	for _, j := range accepted(jobs) {
		runs := w.jobRuns(j)
		for i, r := range runs {
			next := w.since()
			if i+1 < len(runs) {
				next = runs[i+1].start
			}
			if r.how != "" && next-r.end > 9*time.Second {
				w.note("BROKEN: job %s has had nothing running from %.3f to %.3f", j.id, r.end.Seconds(), next.Seconds())
				broken++
			}
		}
	}
	return broken, nil
}
