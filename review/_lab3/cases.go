package main

import (
	"fmt"
	"math/rand"
	"sync"
	"syscall"
	"time"
)

// droppedQueue replaces the routes of a configuration again and again while clients hand jobs
// in, and looks whether each accepted job is done.
func droppedQueue(l *lab) (int, error) {
	const changes, width, clients = 44, 24, 16
	routesOf := func(generation int) []route {
		var list []route
		for i := range width {
			list = append(list, route{name: fmt.Sprintf("q%02d-%02d", generation, i), maxAttempts: 4, timeout: 3000})
		}
		return list
	}
	if err := l.configure(1, routesOf(0)); err != nil {
		return notRun, err
	}
	if err := l.workers(8, 16000); err != nil {
		return notRun, err
	}
	type accepted struct {
		route route
		id    string
		at    time.Time
	}
	var mu sync.Mutex
	var jobs []accepted
	current := routesOf(0)
	stop := make(chan struct{})
	var running sync.WaitGroup
	// Each client sends about two jobs a second, each to any of the queues.
	for range clients {
		running.Add(1)
		go func() {
			defer running.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.Int63n(int64(time.Second)))):
				}
				mu.Lock()
				r := current[rand.Intn(width)]
				mu.Unlock()
				id := newID()
				l.farm.expect(id, job{tasks: 1})
				if l.submit(r, id, oneStep(100, 1, 500, nil)) == 200 {
					mu.Lock()
					jobs = append(jobs, accepted{r, id, time.Now()})
					mu.Unlock()
				}
			}
		}()
	}
	for i := 1; i <= changes; i++ {
		time.Sleep(time.Duration(900+rand.Intn(300)) * time.Millisecond)
		next := routesOf(i)
		if !l.trouble {
			// The same number of changes, of a time-out only.
			next = routesOf(0)
			next[0].timeout += i
		}
		if err := l.configure(1+i, next); err != nil {
			return notRun, err
		}
		mu.Lock()
		current = next
		mu.Unlock()
	}
	close(stop)
	running.Wait()
	l.rec.log("traffic ends, %d jobs were accepted", len(jobs))
	time.Sleep(finishAfter + 4*time.Second)
	result, done := held, 0
	for _, j := range jobs {
		state := l.state(j.route, j.id)
		if state == "done" {
			done++
			continue
		}
		result = broken
		l.rec.log("BROKEN: job %s of queue %s was accepted and is %q, begun: %v, %v after its ack", j.id, j.route.name, state, l.farm.begun(j.id), time.Since(j.at).Round(time.Second))
	}
	l.rec.log("%d of %d accepted jobs are done", done, len(jobs))
	if done == 0 {
		return notRun, fmt.Errorf("no job was done")
	}
	return result, nil
}

// soundJobFailed lets workers crash and return while tasks that never fail run on them, and
// looks whether a job is shown as failed.
func soundJobFailed(l *lab) (int, error) {
	const count = 24
	r := route{name: "hold", maxAttempts: 3}
	if err := l.configure(1, []route{r}); err != nil {
		return notRun, err
	}
	if err := l.workers(count, 32000); err != nil {
		return notRun, err
	}
	var ids []string
	for range 12 {
		id := newID()
		l.farm.expect(id, job{tasks: 6})
		if status := l.submit(r, id, oneStep(0, 6, 6400, map[string]any{"long-running": true})); status != 200 {
			return notRun, fmt.Errorf("job %s was answered %d", id, status)
		}
		ids = append(ids, id)
	}
	time.Sleep(2 * time.Second)
	result := held
	failed := map[string]bool{}
	look := func() {
		for _, id := range ids {
			if failed[id] {
				continue
			}
			if state := l.state(r, id); state == "failed" || state == "cancelled" || state == "410" {
				failed[id] = true
				result = broken
				l.rec.log("BROKEN: job %s is shown as %q; its runs ended as %v, none by its own fault", id, state, l.farm.endsOf(id))
			}
		}
	}
	// At most an eighth of the workers is down at a time, for 3 s.
	for range 15 {
		if l.trouble {
			perm := rand.Perm(count)[:count/8]
			for _, i := range perm {
				l.farm.workers[i].crash()
			}
			time.Sleep(3 * time.Second)
			for _, i := range perm {
				if err := l.farm.workers[i].up(); err != nil {
					return notRun, err
				}
			}
			time.Sleep(2 * time.Second)
		} else {
			time.Sleep(5 * time.Second)
		}
		look()
	}
	l.rec.log("%d of %d jobs were shown as failed", len(failed), len(ids))
	return result, nil
}

// pending fills all workers but one, lets that one go dark, hands jobs in and reads the number
// of waiting jobs.
func pending(l *lab) (int, error) {
	const count, late = 8, 8
	r := route{name: "desk", maxAttempts: 4}
	if err := l.configure(1, []route{r}); err != nil {
		return notRun, err
	}
	if err := l.workers(count, 8000); err != nil {
		return notRun, err
	}
	for range count - 1 {
		id := newID()
		l.farm.expect(id, job{tasks: 1})
		if status := l.submit(r, id, oneStep(60000, 1, 8000, nil)); status != 200 {
			return notRun, fmt.Errorf("job %s was answered %d", id, status)
		}
	}
	time.Sleep(3 * time.Second)
	var empty *worker
	l.farm.mu.Lock()
	for _, w := range l.farm.workers {
		if len(w.life.running) == 0 {
			empty = w
		}
	}
	l.farm.mu.Unlock()
	if empty == nil {
		return notRun, fmt.Errorf("no worker is empty")
	}
	if l.trouble {
		empty.crashDark()
	}
	var ids []string
	for range late {
		id := newID()
		l.farm.expect(id, job{tasks: 1})
		if status := l.submit(r, id, oneStep(2000, 1, 1000, nil)); status != 200 {
			return notRun, fmt.Errorf("job %s was answered %d", id, status)
		}
		ids = append(ids, id)
	}
	acked := time.Now()
	time.Sleep(visible + 2*time.Second + contact)
	result, wrong := held, 0
	for time.Since(acked) < 30*time.Second {
		waiting := 0
		for _, id := range ids {
			if !l.farm.begun(id) {
				waiting++
			}
		}
		shown := l.pending(r)
		l.rec.log("%d jobs accepted over %v ago have not begun, pending is %d", waiting, time.Since(acked).Round(time.Second), shown)
		if shown >= 0 && 2*shown < waiting {
			wrong++
			result = broken
		}
		time.Sleep(time.Second)
	}
	l.rec.log("%d answers were under half of the number of waiting jobs", wrong)
	return result, nil
}

// gang lets workers crash once under gangs with checkpoints and looks whether the gangs are put
// together again.
func gang(l *lab) (int, error) {
	const count, gangs, members = 16, 4, 4
	r := route{name: "gang", maxAttempts: 4}
	if err := l.configure(1, []route{r}); err != nil {
		return notRun, err
	}
	if err := l.workers(count, 8000); err != nil {
		return notRun, err
	}
	var ids []string
	for range gangs {
		id := newID()
		l.farm.expect(id, job{tasks: members, gang: true, checkpoint: true})
		if status := l.submit(r, id, oneStep(12000, members, 8000, map[string]any{"gang": true, "checkpointing": true})); status != 200 {
			return notRun, fmt.Errorf("job %s was answered %d", id, status)
		}
		ids = append(ids, id)
	}
	time.Sleep(time.Duration(4000+rand.Intn(2000)) * time.Millisecond)
	if l.trouble {
		// An eighth of the workers is down once, for 3 s.
		perm := rand.Perm(count)[:count/8]
		for _, i := range perm {
			l.farm.workers[i].crash()
		}
		time.Sleep(3 * time.Second)
		for _, i := range perm {
			if err := l.farm.workers[i].up(); err != nil {
				return notRun, err
			}
		}
	}
	// Until then runs may end alone: the crash is near.
	calm := time.Now().Add(2 * contact)
	time.Sleep(50 * time.Second)
	result := held
	for _, id := range ids {
		state := l.state(r, id)
		l.rec.log("job %s is %q, its runs ended as %v", id, state, l.farm.endsOf(id))
	}
	l.farm.mu.Lock()
	defer l.farm.mu.Unlock()
	for _, a := range l.farm.alone {
		if a.began.After(calm) {
			result = broken
			l.rec.log("BROKEN: %s, which began %v after the last worker was back, ended alone", a.text, a.began.Sub(calm.Add(-2*contact)).Round(time.Millisecond))
		}
	}
	return result, nil
}

// quarantine lets tasks that last fail now and then on the only worker of their kind, and looks
// whether each is started again in time.
func quarantine(l *lab) (int, error) {
	const count, jobs = 8, 6
	r := route{name: "hold", maxAttempts: 3}
	if err := l.configure(1, []route{r}); err != nil {
		return notRun, err
	}
	kind := func(i int) string {
		if i == 0 {
			return "b"
		}
		return "a"
	}
	if err := l.workersOf(count, 32000, kind); err != nil {
		return notRun, err
	}
	failsAfter := 20 * time.Second
	if !l.trouble {
		failsAfter = 0
	}
	for range jobs {
		id := newID()
		l.farm.expect(id, job{tasks: 1, failsAfter: failsAfter})
		if status := l.submit(r, id, oneStep(0, 1, 2000, map[string]any{"long-running": true, "constraints": "b"})); status != 200 {
			return notRun, fmt.Errorf("job %s was answered %d", id, status)
		}
	}
	time.Sleep(3 * time.Second)
	result := held
	// A task has to run again 6 s after its last run, and may be without a worker for 3 s more.
	const limit = 9 * time.Second
	late := map[string]bool{}
	for until := time.Now().Add(100 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		l.farm.mu.Lock()
		for task, at := range l.farm.endedAt {
			key := fmt.Sprint(task, at)
			if time.Since(at) > limit && !late[key] {
				late[key] = true
				result = broken
				l.rec.log("BROKEN: task %s has not run for %v; the worker of its kind is up, with at least %d of 32000 millicores free", task, limit, 32000-jobs*2000)
			}
		}
		l.farm.mu.Unlock()
	}
	return result, nil
}

// splitGang kills the leader right after it has accepted a job of several gangs, and looks
// whether the job is done.
func splitGang(l *lab) (int, error) {
	const count, steps, width, rounds = 48, 16, 36, 6
	r := route{name: "gang", maxAttempts: 4}
	if err := l.configure(1, []route{r}); err != nil {
		return notRun, err
	}
	if err := l.workers(count, 32000); err != nil {
		return notRun, err
	}
	var ids []string
	for range rounds {
		leader := l.leader()
		if leader == nil {
			return notRun, fmt.Errorf("there is no leader")
		}
		id := newID()
		l.farm.expect(id, job{tasks: width, gang: true})
		var phases []map[string]any
		for range steps {
			phases = append(phases, map[string]any{"count": width, "cpu": 500, "mem-mb": 100, "estimate-ms": 1000, "gang": true})
		}
		if status := l.submit(r, id, map[string]any{"spec": "ms=1000", "phases": phases}); status != 200 {
			return notRun, fmt.Errorf("job %s was answered %d", id, status)
		}
		ids = append(ids, id)
		if l.trouble {
			time.Sleep(time.Duration(8+rand.Intn(9)) * time.Millisecond)
			l.signal(leader, syscall.SIGKILL)
			<-leader.exited
			time.Sleep(time.Second)
			if err := l.start(leader); err != nil {
				return notRun, err
			}
		}
		// The next leader is calm, and the last one back, for as long as the system may take.
		time.Sleep(8 * time.Second)
	}
	time.Sleep(finishAfter + 4*time.Second)
	result := held
	for _, id := range ids {
		state := l.state(r, id)
		l.rec.log("job %s is %q, its runs ended as %v", id, state, l.farm.endsOf(id))
		if state != "done" {
			result = broken
			l.rec.log("BROKEN: job %s is not done, and nothing of it runs", id)
		}
	}
	return result, nil
}
