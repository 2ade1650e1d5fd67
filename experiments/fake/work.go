package fake

import (
	"math"
	"slices"
	"time"

	"geraniumwall/policy"
	"geraniumwall/workerapi"
)

// Start starts a task on a worker; it reports whether the worker accepted it.
func (f *Fleet) Start(now time.Duration, t policy.Task, size workerapi.Resources, id string) bool {
	w := f.byID[id]
	if w.lost || f.tasks[t.ID] != nil {
		return false
	}
	sum := size
	for _, r := range w.tasks {
		sum = sum.Plus(r.reserved)
	}
	if !sum.Fits(w.Capacity.Minus(w.Reserved)) {
		f.Totals.Overcommitted++
		return false
	}
	j := f.jobs[t.Job]
	r := &running{task: t, spec: j, worker: w, reserved: size, share: 1, wanted: 1, started: now, evictAt: -1}
	f.draw(r)
	r.progress = f.saved[t.ID]
	r.saved = r.progress
	f.tasks[t.ID] = r
	w.tasks = append(w.tasks, r)
	f.Totals.Attempts++
	return true
}

// draw sets what the task really needs; it depends on the task alone.
func (f *Fleet) draw(r *running) {
	size, duration := orOne(r.spec.SizeFactor), orOne(r.spec.TimeFactor)
	u := hash(r.task.ID, f.spec.Seed)
	r.used = workerapi.Resources{
		CPUMillis:    int64(float64(r.spec.Declared.CPUMillis) * size * (0.7 + 0.3*u)),
		MemoryMB:     int64(float64(r.spec.Declared.MemoryMB) * size * (0.7 + 0.3*u)),
		Accelerators: r.spec.Declared.Accelerators,
	}
	r.work = time.Duration(float64(r.spec.Expected) * duration * (0.6 + 0.8*u))
	r.faulty = hash(r.task.ID+"/fails", f.spec.Seed) < r.spec.FailEach
}

func orOne(v float64) float64 {
	if v == 0 {
		return 1
	}
	return v
}

// hash maps a text to 0..1.
func hash(text string, seed uint64) float64 {
	h := seed*0x9E3779B97F4A7C15 + 0xCBF29CE484222325
	for _, c := range []byte(text) {
		h = (h ^ uint64(c)) * 0x100000001B3
	}
	h ^= h >> 29
	h *= 0xBF58476D1CE4E5B9
	h ^= h >> 32
	return float64(h>>11) / (1 << 53)
}

// work advances the tasks of a worker by one tick.
func (f *Fleet) work(now time.Duration, w *worker, out *Events) {
	if w.lost {
		return
	}
	rate := 1 / max(1, f.pressure(w))
	broken := f.spec.Broken != nil && f.spec.Broken(now, w.number)
	for _, r := range slices.Clone(w.tasks) {
		if now >= r.shareAt {
			r.share = r.wanted
		}
		f.advance(now, r, rate)
		switch {
		case (broken || r.faulty) && now-r.started >= failsAfter:
			f.fail(r, broken, out)
		case r.evictAt >= 0 && now >= r.evictAt:
			f.evicted(r, out)
		case r.progress >= r.work:
			delete(f.saved, r.task.ID)
			f.Totals.Completed++
			f.end(r, policy.OutcomeDone, out)
		}
	}
	f.checkMemory(w, out)
}

func (f *Fleet) advance(now time.Duration, r *running, rate float64) {
	if now-r.started <= startUp {
		return
	}
	step := time.Duration(float64(Tick) * rate * r.share)
	step = min(step, r.work-r.progress)
	r.progress += step
	f.Totals.Done += coreSeconds(r, step)
	if r.task.Checkpoints && r.progress-r.saved >= checkpointEvery {
		r.saved = r.progress
	}
}

// coreSeconds values work by the declared size, so that all policies count alike.
func coreSeconds(r *running, work time.Duration) float64 {
	return work.Seconds() * float64(r.spec.Declared.CPUMillis) / 1000
}

func (f *Fleet) fail(r *running, broken bool, out *Events) {
	f.Totals.FailedAttempts++
	if broken {
		f.Totals.FailedOnBroken++
	}
	f.Totals.Done -= coreSeconds(r, r.progress-r.saved)
	f.end(r, policy.OutcomeFailed, out)
}

// evicted stops a task with a checkpoint if it has any.
func (f *Fleet) evicted(r *running, out *Events) {
	if r.task.Checkpoints {
		f.saved[r.task.ID] = r.progress
		f.Totals.Lost += coreSeconds(r, startUp)
	} else {
		f.lose(r)
	}
	f.end(r, policy.OutcomeEvicted, out)
}

// lose drops the work since the last checkpoint.
func (f *Fleet) lose(r *running) {
	lost := coreSeconds(r, r.progress-r.saved)
	f.Totals.Lost += lost
	f.Totals.Done -= lost
	if r.saved > 0 {
		f.saved[r.task.ID] = r.saved
	}
}

func (f *Fleet) end(r *running, outcome policy.Outcome, out *Events) {
	delete(f.tasks, r.task.ID)
	r.worker.tasks = slices.DeleteFunc(r.worker.tasks, func(o *running) bool { return o == r })
	if out != nil {
		out.Ended = append(out.Ended, Ended{Task: r.task, Worker: r.worker.ID, Outcome: outcome})
	}
}

// checkMemory kills the task that is furthest over its reservation when the
// memory of the host is exceeded.
func (f *Fleet) checkMemory(w *worker, out *Events) {
	for {
		var used int64
		var worst *running
		for _, r := range w.tasks {
			used += r.used.MemoryMB
			if worst == nil || r.used.MemoryMB-r.reserved.MemoryMB > worst.used.MemoryMB-worst.reserved.MemoryMB {
				worst = r
			}
		}
		if worst == nil || used <= w.Capacity.MemoryMB-w.Reserved.MemoryMB {
			return
		}
		f.Totals.OutOfMemory++
		f.lose(worst)
		f.end(worst, policy.OutcomeLost, out)
	}
}

func (f *Fleet) usages(now time.Duration, w *worker, out *Events) {
	for _, r := range w.tasks {
		age := now - r.started
		if age < usageEvery || age%usageEvery != 0 {
			continue
		}
		out.Usages = append(out.Usages, UsageReport{Worker: w.ID, Usage: policy.Usage{
			Task: r.task.ID, Age: usageLag, Progress: r.progress.Seconds() / max(r.work.Seconds(), math.SmallestNonzeroFloat64),
			Used:            workerapi.Resources{CPUMillis: int64(float64(r.used.CPUMillis) * r.share), MemoryMB: r.used.MemoryMB},
			SinceCheckpoint: r.progress - r.saved,
		}})
	}
}

// Throttle sets the processor share of a task after the delay of a command.
func (f *Fleet) Throttle(now time.Duration, task string, share float64) {
	if r := f.tasks[task]; r != nil {
		r.wanted, r.shareAt = share, now+commandDelay
	}
}

// Evict stops a task after the delay of a command.
func (f *Fleet) Evict(now time.Duration, task string) {
	if r := f.tasks[task]; r != nil && r.evictAt < 0 {
		r.evictAt = now + commandDelay
	}
}

// Cancel stops a task at once and reports where it ran, if it did.
func (f *Fleet) Cancel(task string) (string, bool) {
	r := f.tasks[task]
	if r == nil {
		return "", false
	}
	f.Totals.Done -= coreSeconds(r, r.progress)
	f.end(r, policy.OutcomeCancelled, nil)
	return r.worker.ID, true
}

// Lose cuts a domain off: its tasks stop at their last checkpoints.
func (f *Fleet) Lose(domain int) Events {
	var out Events
	for _, w := range f.workers {
		if w.domain != domain {
			continue
		}
		w.lost = true
		for _, r := range slices.Clone(w.tasks) {
			f.lose(r)
			f.end(r, policy.OutcomeLost, &out)
		}
	}
	return out
}

// Restore brings a domain back.
func (f *Fleet) Restore(domain int) {
	for _, w := range f.workers {
		if w.domain == domain {
			w.lost = false
		}
	}
}
