package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["route"] = playRoute }

const (
	routeRounds = 30
	idleRoutes  = 8
	// routeSpread is the time after the operator's call within which the jobs are handed in.
	routeSpread = 40 * time.Millisecond
	// finishTime is the bound finish_s.
	finishTime = 14 * time.Second
)

// playRoute removes idle routes, and hands one job in to each of them at about that time. A
// job that was accepted has to run; the others were told that there is no such queue.
func playRoute(c *play) error {
	main := newRoute("main")
	if err := c.begin(24, 6, []route{main}); err != nil {
		return err
	}
	var jobs []submitted
	version := 2
	for round := range routeRounds {
		var idle []route
		for k := range idleRoutes {
			idle = append(idle, newRoute(fmt.Sprintf("idle%02d%d", round, k)))
		}
		if err := c.q.configure(version, append([]route{main}, idle...)); err != nil {
			return err
		}
		list, err := c.playRemoval(round, version+1, main, idle)
		if err != nil {
			return err
		}
		jobs = append(jobs, list...)
		version += 2
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(finishTime)
	c.checkAccepted(jobs)
	return nil
}

// submitted is a job with the answer to its submission.
type submitted struct {
	prefix string
	job    *job
	status int
}

// playRemoval removes the idle routes and hands in a job to each meanwhile.
func (c *play) playRemoval(round, version int, main route, idle []route) ([]submitted, error) {
	jobs := make([]submitted, len(idle))
	var calls sync.WaitGroup
	var failure error
	if c.trouble {
		calls.Go(func() { failure = c.q.configure(version, []route{main}) })
	}
	for k, r := range idle {
		j := &job{id: fmt.Sprintf("%04x%04x7a21d94b", round, k), spec: "short", phases: []phase{{Count: 1, CPU: 1000, MemMB: 100, EstimateMS: 300, work: 300}}}
		c.p.know(j)
		wait := time.Duration(rand.Int64N(int64(routeSpread)))
		calls.Go(func() {
			time.Sleep(wait)
			status, err := c.q.submit(r.PathPrefix, j)
			if err != nil {
				status = 0
			}
			jobs[k] = submitted{r.PathPrefix, j, status}
		})
	}
	calls.Wait()
	return jobs, failure
}

// checkAccepted checks that accepted jobs are done, while nearly all capacity is idle, and that
// rejected ones have not run.
func (c *play) checkAccepted(jobs []submitted) {
	accepted, rejected := 0, 0
	for _, s := range jobs {
		first := taskName{s.job.id, 0, 0, 0}
		c.p.mu.Lock()
		starts, done := c.p.starts[first], c.p.done[first]
		c.p.mu.Unlock()
		switch {
		case s.status == http.StatusOK:
			accepted++
			if !done {
				status, state := c.q.state(s.prefix, s.job.id)
				c.rec.breach("LOST: job %s was accepted at %s; %v after the last submission it has %d starts, and its state is %d %q",
					s.job.id, s.prefix, finishTime, starts, status, state)
			}
		case s.status != 0:
			rejected++
			if starts > 0 {
				c.rec.breach("REFUSED: job %s was answered with %d and has run", s.job.id, s.status)
			}
		}
	}
	c.rec.add("%d jobs accepted, %d rejected", accepted, rejected)
}
