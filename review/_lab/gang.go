package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	gangTimeout    = 3 * time.Second // gang-timeout-ms
	checkpointTime = 500 * time.Millisecond
)

// gangRun is one run of a gang, on all of its workers.
type gangRun struct {
	mu sync.Mutex
	// saves is set if the tasks of the step checkpoint their progress.
	saves      bool
	checkpoint string
	members    map[string]member
	began      bool
	over       bool
	// saved is the newest checkpoint, which is that of each member.
	saved string
}

type member struct {
	s *worker
	l *life
	r *run
}

// gangRuns are the runs of gangs, by step and attempt.
var gangRuns sync.Map

// gangRunOf returns the run of the gang that a start belongs to, with the number of its
// members, or nil.
func (w *world) gangRunOf(o *order) (*gangRun, int) {
	step := o.Task[:max(0, strings.LastIndexByte(o.Task, '.'))]
	p, found := sizes.Load(step)
	if !found || !p.(phase).Gang {
		return nil, 0
	}
	g, _ := gangRuns.LoadOrStore(fmt.Sprintf("%s/%d", step, o.Attempt), &gangRun{
		saves: p.(phase).Checkpoints, checkpoint: o.Checkpoint, saved: o.Checkpoint, members: map[string]member{}})
	return g.(*gangRun), p.(phase).Count
}

// sameCheckpoint reports whether a start carries the checkpoint that all members of its
// gang's run carry.
func (w *world) sameCheckpoint(o *order) bool {
	g, _ := w.gangRunOf(o)
	return g == nil || g.checkpoint == o.Checkpoint
}

// joinGang adds a run to that of its gang, and reports whether it belongs to one.
func (w *world) joinGang(s *worker, l *life, o *order, r *run) bool {
	g, size := w.gangRunOf(o)
	if g == nil {
		return false
	}
	length := 0
	_, _ = fmt.Sscanf(o.Spec, "done %d", &length)
	r.length, r.gang = time.Duration(length)*time.Millisecond, g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[o.Task] = member{s, l, r}
	switch {
	case g.over:
		go s.endLater(l, o.Task, r, 0, "broken")
	case len(g.members) == size:
		g.began = true
		go g.work(r.length)
	case len(g.members) == 1:
		time.AfterFunc(gangTimeout, func() {
			g.mu.Lock()
			alone := !g.began && !g.over
			g.mu.Unlock()
			if alone {
				g.end("", "alone")
			}
		})
	}
	return true
}

// work goes on from the checkpoint until the work is done.
func (g *gangRun) work(length time.Duration) {
	done := int64(0)
	_, _ = fmt.Sscanf(g.checkpoint, "%x", &done)
	for {
		time.Sleep(checkpointTime)
		done += checkpointTime.Milliseconds()
		g.mu.Lock()
		over := g.over
		if !over && g.saves {
			g.saved = fmt.Sprintf("%016x", done)
		}
		g.mu.Unlock()
		if over {
			return
		}
		if done >= length.Milliseconds() {
			g.end("", "done")
			return
		}
	}
}

// end ends the runs of all members but one.
func (g *gangRun) end(but, how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.over {
		return
	}
	g.over = true
	for task, m := range g.members {
		if task != but {
			m.s.endLater(m.l, task, m.r, 0, how)
		}
	}
}

// leaveGang breaks the run of the gang, unless it is over.
func (r *run) leaveGang(task string) {
	if r.gang != nil {
		go r.gang.end(task, "broken")
	}
}

// savedNow returns the newest checkpoint.
func (r *run) savedNow() string {
	if r.gang == nil {
		return r.saved
	}
	r.gang.mu.Lock()
	defer r.gang.mu.Unlock()
	return r.gang.saved
}
