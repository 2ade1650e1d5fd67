package main

import (
	"fmt"
	"math/rand"
	"syscall"
	"time"
)

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
