package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["gang"] = playGang }

const (
	gangMembers = 3
	gangWorkMS  = 6000
	crashTime   = 3500 * time.Millisecond
	gangPrefix  = "/lohu930/"
)

// gangCrashAt is when a worker of each gang crashes, after the job was accepted.
var gangCrashAt = []time.Duration{2800 * time.Millisecond, 3300 * time.Millisecond, 3800 * time.Millisecond}

// playGang runs jobs with a gang whose tasks save their progress. One worker of each gang
// crashes in the middle of the work and is back after some seconds.
func playGang(c *play) error {
	if err := c.begin(24, 3, []route{newRoute("lohu930")}); err != nil {
		return err
	}
	var played sync.WaitGroup
	failures := make([]error, len(gangCrashAt))
	for i, at := range gangCrashAt {
		j := &job{id: fmt.Sprintf("%02x0e7a21d94b36f8", i+1), spec: "gang", phases: []phase{
			{Count: gangMembers, CPU: 20000, MemMB: 1000, EstimateMS: gangWorkMS, Checkpointing: true, Gang: true, work: gangWorkMS},
		}}
		played.Go(func() { failures[i] = c.playGangJob(j, at) })
	}
	played.Wait()
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *play) playGangJob(j *job, crashAt time.Duration) error {
	c.p.know(j)
	if status, err := c.q.submit(gangPrefix, j); err != nil || status != http.StatusOK {
		return fmt.Errorf("submission of %s: status %d, %v", j.id, status, err)
	}
	time.Sleep(crashAt)
	if c.trouble {
		c.crashFor(crashTime, c.workerOf(taskName{j.id, 0, 0, 0}))
	}
	for until := time.Now().Add(25 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		if _, state := c.q.state(gangPrefix, j.id); state == "done" {
			return nil
		}
	}
	c.rec.breach("LOST: job %s was accepted and is not done 25 s after the crash", j.id)
	return nil
}
