package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["crash"] = playCrash }

const (
	lastingPrefix = "/pule252/"
	// crashes is the number of times that the rack of a task crashes.
	crashes = 2
	// crashGap is the time from the start of a task until its rack crashes.
	crashGap = 6 * time.Second
	// idleLimit is how long a task that lasts may be without a run, with the calm time before.
	idleLimit = 9 * time.Second
)

// playCrash hands in a job that lasts. The rack where its first task works crashes, and later
// the rack where it works then. No run of the task has failed.
func playCrash(c *play) error {
	if err := c.begin(24, 3, []route{newRoute("pule252")}); err != nil {
		return err
	}
	j := &job{id: "5c0e7a21d94b36f8", spec: "lasting", phases: []phase{
		{Count: 2, CPU: 6400, MemMB: 13000, EstimateMS: 500, LongRunning: true, Image: "stock"},
	}}
	c.p.know(j)
	if status, err := c.q.submit(lastingPrefix, j); err != nil || status != http.StatusOK {
		return fmt.Errorf("submission: status %d, %v", status, err)
	}
	first := taskName{j.id, 0, 0, 0}
	for i := range crashes {
		w := c.waitRunning(first, 12*time.Second)
		if w == nil && i == 0 {
			return errors.New("the task does not start")
		}
		time.Sleep(crashGap)
		if c.trouble && w != nil {
			c.crashFor(crashTime, c.rackOf(w)...)
		}
	}
	time.Sleep(crashTime + idleLimit)
	status, state := c.q.state(lastingPrefix, j.id)
	c.p.mu.Lock()
	running, failed := len(c.p.runs[first]), c.p.failed[first]
	c.p.mu.Unlock()
	if state == "failed" && failed == 0 {
		c.rec.breach("LOST: job %s is shown as failed, and no run of its tasks has ended failed", j.id)
	}
	if status != http.StatusOK || state != "failed" && state != "running" {
		c.rec.breach("LOST: job %s is shown as %d %q", j.id, status, state)
	}
	if running == 0 {
		c.rec.breach("LOST: task %v has not run for %v, and nearly all capacity is idle", first, idleLimit)
	}
	return nil
}

// waitRunning waits until a task runs and returns its worker, or nil.
func (c *play) waitRunning(n taskName, limit time.Duration) *worker {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if w := c.workerOf(n); w != nil {
			return w
		}
	}
	return nil
}

// rackOf returns the workers on the rack of a worker.
func (c *play) rackOf(w *worker) []*worker {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	var rack []*worker
	for _, other := range c.p.workers {
		if other.labels[1] == w.labels[1] {
			rack = append(rack, other)
		}
	}
	return rack
}
