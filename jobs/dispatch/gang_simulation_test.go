package dispatch

import (
	"slices"
	"time"

	"geraniumwall/jobs"
)

// simGangTimeout is how long a member of a gang waits for the others.
const simGangTimeout = 3 * time.Second

// gangAttempt identifies one attempt of a gang.
type gangAttempt struct {
	job                       string
	occurrence, step, attempt int
}

// simGang is an attempt of a gang on the workers. It works once all members are there, and all
// of them end together.
type simGang struct {
	members []gangMember
	// size is the number of members that it needs.
	size int
	// over is set once one member has ended.
	over bool
}

type gangMember struct {
	worker *simWorker
	key    jobs.TaskKey
	run    *simRun
}

// active reports whether the member still runs.
func (m *gangMember) active() bool { return m.worker.up && m.worker.running[m.key] == m.run }

func (g *simGang) working() bool { return !g.over && len(g.members) == g.size }

// joinGang adds a run to the gang of its attempt, which begins to work with the last member.
func (t *simWorker) joinGang(key jobs.TaskKey, run *simRun, step *jobs.Step) {
	id := gangAttempt{key.Job, key.Occurrence, key.Step, run.attempt}
	g := t.sim.gangs[id]
	if g == nil {
		g = &simGang{size: step.Count}
		t.sim.gangs[id] = g
	}
	run.gang = g
	g.members = append(g.members, gangMember{t, key, run})
	if g.working() {
		if !step.LongRunning {
			t.sim.schedule(g.duration(), func() { t.sim.finishGang(g) })
		}
		return
	}
	t.sim.schedule(simGangTimeout, func() {
		if m := (gangMember{t, key, run}); m.active() && !g.working() {
			t.end(key, jobs.OutcomeGangIncomplete)
		}
	})
}

// duration returns how long the gang works: as long as its slowest member.
func (g *simGang) duration() time.Duration {
	longest := time.Duration(0)
	for _, m := range g.members {
		longest = max(longest, m.run.duration-m.run.saved)
	}
	return longest
}

// finishGang ends all members of a gang that has done its work, or later if a worker hangs.
func (sim *simulation) finishGang(g *simGang) {
	if !g.working() {
		return
	}
	if slices.ContainsFunc(g.members, func(m gangMember) bool { return m.worker.hung }) {
		sim.schedule(100*time.Millisecond, func() { sim.finishGang(g) })
		return
	}
	for _, m := range g.members {
		m.worker.expire()
	}
	if g.over {
		return
	}
	for _, m := range g.members {
		if outcome := m.worker.outcomeOf(m.key, m.run); outcome != jobs.OutcomeDone {
			m.worker.end(m.key, outcome)
			return
		}
	}
	g.over = true
	for _, m := range g.members {
		m.worker.end(m.key, jobs.OutcomeDone)
	}
}

// leaveGang ends the other members after one has ended before the work is done. One that still
// waits for the others only leaves.
func (g *simGang) leaveGang(run *simRun) {
	if g.over {
		return
	}
	if !g.working() {
		g.members = slices.DeleteFunc(g.members, func(m gangMember) bool { return m.run == run })
		return
	}
	g.over = true
	for _, m := range g.members {
		if m.run != run && m.active() {
			m.worker.end(m.key, jobs.OutcomeGangMemberEnded)
		}
	}
}
