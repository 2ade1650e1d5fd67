package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["label"] = playLabel }

const (
	labelWorkers = 48
	// largeWorkers are of kind largeKind, with half as much capacity again.
	largeWorkers = 4
	largeKind    = "b"
	largeCPU     = 48000
	// Short jobs keep a tenth of the service at work.
	shortEvery = 80 * time.Millisecond
	shortTasks = 8
	shortCPU   = 2000
	shortWork  = 1000
	// settle is the time between the loss of a worker and the submission.
	settle = 15 * time.Second
	// startLimit is how long a job may have nothing running, after 4 s of calm.
	startLimit = 3 * time.Second
	labelWatch = 20 * time.Second
)

// playLabel loses one of the workers of a kind for good. Later a job that lasts and needs that
// kind is handed in, while short jobs come at a steady rate.
func playLabel(c *play) error {
	c.shape = func(i int, w *worker) {
		if i < largeWorkers {
			w.labels[0], w.cpu = largeKind, largeCPU
		}
	}
	if err := c.begin(labelWorkers, 6, []route{newRoute("lohu930"), newRoute("pule252")}); err != nil {
		return err
	}
	stop := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() { c.shortLoad(stop) })
	time.Sleep(3 * time.Second)
	if c.trouble {
		c.p.workers[0].crash()
	}
	time.Sleep(settle)
	err := c.playLabelledJob()
	close(stop)
	load.Wait()
	return err
}

// shortLoad hands in short jobs at a steady rate.
func (c *play) shortLoad(stop chan struct{}) {
	var calls sync.WaitGroup
	t := time.NewTicker(shortEvery)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			calls.Wait()
			return
		case <-t.C:
		}
		j := &job{id: fmt.Sprintf("%08x7a21d94b", i), spec: "short", phases: []phase{
			{Count: shortTasks, CPU: shortCPU, MemMB: 1000, EstimateMS: shortWork, work: shortWork},
		}}
		c.p.know(j)
		calls.Go(func() { _, _ = c.q.submit("/lohu930/", j) })
	}
}

func (c *play) playLabelledJob() error {
	j := &job{id: "5c0e7a21d94b36f8", spec: "lasting", phases: []phase{
		{Count: 1, CPU: 6400, MemMB: 13000, EstimateMS: 500, LongRunning: true, Constraints: largeKind},
	}}
	c.p.know(j)
	if status, err := c.q.submit(lastingPrefix, j); err != nil || status != http.StatusOK {
		return fmt.Errorf("submission: status %d, %v", status, err)
	}
	accepted, waited := time.Now(), time.Duration(0)
	for waited < labelWatch && c.workerOf(taskName{j.id, 0, 0, 0}) == nil {
		time.Sleep(100 * time.Millisecond)
		waited = time.Since(accepted)
		c.noteRoom()
	}
	c.rec.add("job %s had nothing running for %v", j.id, waited.Round(100*time.Millisecond))
	room, share := c.leastRoom()
	switch {
	case waited <= startLimit:
	case room < 2*j.phases[0].CPU || share >= 0.5:
		return fmt.Errorf("the capacity was in use: room for %d on a worker, %.2f of the service in use", room, share)
	default:
		c.rec.breach("LOST: job %s was accepted and has had nothing running for %v; the worker of its kind with the most room had %d thousandths of a core free or more, and %.2f of the service or less was in use",
			j.id, waited.Round(100*time.Millisecond), room, share)
	}
	return nil
}

// noteRoom records the room on the emptiest worker of the kind, and the share of the service in
// use.
func (c *play) noteRoom() {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	var room, used, capacity int64
	for _, w := range c.p.workers {
		if !w.up {
			continue
		}
		busy := int64(0)
		for _, r := range w.running {
			busy += r.phase.CPU
		}
		used, capacity = used+busy, capacity+w.cpu
		if w.labels[0] == largeKind {
			room = max(room, w.cpu-busy)
		}
	}
	c.rooms, c.shares = append(c.rooms, room), append(c.shares, float64(used)/float64(capacity))
}

// leastRoom returns the least room and the largest share that were noted.
func (c *play) leastRoom() (room int64, share float64) {
	for i := range c.rooms {
		if i == 0 || c.rooms[i] < room {
			room = c.rooms[i]
		}
		share = max(share, c.shares[i])
	}
	return room, share
}
