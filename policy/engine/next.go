package engine

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"geraniumwall/config"
	"geraniumwall/policy"
	"geraniumwall/policy/fairness"
	"geraniumwall/policy/placement"
	"geraniumwall/workerapi"
)

// Times of the placement.
const (
	// settleTime is the time without new workers after which the domain is
	// complete enough to call a task impossible: workers announce themselves
	// every 0.5 s after a failover.
	settleTime = 5 * time.Second
	// reportEvery repeats the report of a task that is not removed from the queue.
	reportEvery = 10 * time.Second
	// retryAfter is the time after which a search is repeated although no
	// capacity was freed, since loads and the learned model change.
	retryAfter = time.Second
	// insistEvery rations starts of overdue tasks on hosts where a service passes
	// its limit.
	insistEvery = 10 * time.Second
)

// failKey names a search, failMark when it last found nothing.
type failKey struct {
	job    string
	need   workerapi.Resources
	insist bool
}

type failMark struct {
	freed uint64
	at    time.Duration
}

// maxFails bounds the remembered searches.
const maxFails = 4096

// Next proposes up to limit starts, most important first.
func (e *Engine) Next(now time.Duration, limit int) ([]policy.Placement, []policy.Impossible) {
	e.returnPlans(now)
	e.health.Step(now)
	e.applyHealth(now)
	e.expireHolds(now)
	e.expireReservations(now)
	clear(e.urgent)
	clear(e.owners)
	if len(e.fails) > maxFails {
		clear(e.fails)
	}
	var placements []policy.Placement
	impossible := e.repeatReports(now)
	round := e.queue.Round(now)
	placements = e.placeHeld(now, round, limit, placements)
	for len(placements) < limit {
		c, found := round.Pick()
		if !found {
			break
		}
		if reason := e.failsEverywhere(now, &c); reason != "" {
			impossible = append(impossible, e.park(now, &c, reason))
			continue
		}
		choice := e.choose(now, &c)
		if choice.Host != nil {
			placements = append(placements, e.place(now, round, &c, &choice))
			continue
		}
		if reason := e.neverFits(now, &c); reason != "" {
			impossible = append(impossible, e.park(now, &c, reason))
			continue
		}
		e.noRoom(now, round, &c, &choice)
		round.Block(c)
	}
	return placements, impossible
}

// place plans a candidate on the chosen host and proposes it.
func (e *Engine) place(now time.Duration, round *fairness.Round, c *fairness.Candidate, choice *placement.Choice) policy.Placement {
	round.Take(*c)
	e.plan(now, c, e.hosts[choice.Host.ID])
	return e.proposal(now, c, choice)
}

// returnPlans treats proposals that were not answered as refused.
func (e *Engine) returnPlans(now time.Duration) {
	for len(e.planned) > 0 {
		id := e.planned[0]
		e.Refused(now, id, e.tasks[id].worker)
	}
}

func (e *Engine) request(c *fairness.Candidate) placement.Request {
	r := placement.Request{Task: c.ID, Job: c.Job, Need: c.Need, Declared: c.Size, JobNumber: e.model.JobNumber(c.Job), Apart: e.apart[c.Job]}
	if failed := e.health.FailedOn(c.ID); len(failed) > 0 {
		r.Avoid = map[string]bool{}
		for _, id := range failed {
			r.Avoid[id] = true
		}
	}
	return r
}

// choose finds a host for a candidate, or none.
func (e *Engine) choose(now time.Duration, c *fairness.Candidate) placement.Choice {
	r := e.request(c)
	if c.Class == config.Urgent {
		if choice, kept := e.chooseKept(&r); kept {
			return choice
		}
	}
	insist := c.Class == config.Urgent || (c.Overdue(now) && now-e.insisted >= insistEvery)
	key := failKey{job: c.Job, need: c.Need, insist: insist}
	mark, failed := e.fails[key]
	if failed && mark.freed == e.index.Freed && now-mark.at < retryAfter {
		return placement.Choice{}
	}
	choice := e.chooser.Choose(&r, insist)
	if choice.Host == nil {
		e.fails[key] = failMark{freed: e.index.Freed, at: now}
		return choice
	}
	if insist && c.Class != config.Urgent {
		e.insisted = now
	}
	return choice
}

func (e *Engine) proposal(now time.Duration, c *fairness.Candidate, choice *placement.Choice) policy.Placement {
	d := policy.Decision{
		At: now, Subject: c.ID, Kind: "placed", Worker: choice.Host.ID,
		Reason: fmt.Sprintf("lowest score of %d workers with room", choice.Candidates),
		Figures: []policy.Figure{
			{Name: "score", Value: choice.Score},
			{Name: "room", Value: choice.Room},
			{Name: "rack", Value: choice.Rack},
			{Name: "interference", Value: choice.Interference},
			{Name: "refused_for_services", Value: float64(choice.Refused)},
			{Name: "rank", Value: float64(c.Rank)},
			{Name: "team_share", Value: c.Share},
			{Name: "waited_s", Value: (now - c.Enqueued).Seconds()},
		},
	}
	if c.Borrowed {
		d.Reason += ", on borrowed quota"
	}
	return policy.Placement{Task: c.ID, Worker: choice.Host.ID, Size: c.Need, Decision: d}
}

// failsEverywhere returns why a task has failed for good, or "".
func (e *Engine) failsEverywhere(now time.Duration, c *fairness.Candidate) string {
	job, known := e.jobs[c.Job]
	if !known || len(e.health.FailedOn(c.ID)) < job.MaxAttempts {
		return ""
	}
	n := e.health.FailsEverywhere(now, c.ID)
	if n < job.MaxAttempts {
		return ""
	}
	return fmt.Sprintf("failed on %d workers that run other tasks; correct the task", n)
}

// neverFits returns why the candidate can never run in this domain, or "".
func (e *Engine) neverFits(now time.Duration, c *fairness.Candidate) string {
	if e.index.Len() == 0 || now-e.grown < settleTime {
		return ""
	}
	r := placement.Request{Job: c.Job, Need: c.Need, Apart: e.apart[c.Job]}
	_, reason := e.index.Possible(now, &r)
	return reason
}

// overQuota returns why the quota of the team never admits the task, or "".
func (e *Engine) overQuota(t *policy.Task) string {
	if e.queue.Possible(t.Team, t.Size) {
		return ""
	}
	quota := e.queue.Quota(t.Team)
	return fmt.Sprintf("needs %s, but the quota of team %s is %s; raise the quota or reduce the size",
		placement.Amounts(t.Size), t.Team, placement.Amounts(quota))
}

// park takes a task that can never run out of the order. It is reported until it
// is removed, and waits again when a worker joins or the configuration changes.
func (e *Engine) park(now time.Duration, c *fairness.Candidate, reason string) policy.Impossible {
	e.queue.Remove(c.ID)
	e.parked[c.ID] = parked{reason: reason, reported: now}
	e.explain(policy.Decision{At: now, Subject: c.ID, Kind: "refused", Reason: reason, Figures: []policy.Figure{
		{Name: "cpu_millis", Value: float64(c.Need.CPUMillis)},
		{Name: "memory_mb", Value: float64(c.Need.MemoryMB)},
		{Name: "accelerators", Value: float64(c.Need.Accelerators)},
		{Name: "failures", Value: float64(len(e.health.FailedOn(c.ID)))},
	}})
	return policy.Impossible{Task: c.ID, Reason: reason}
}

type parked struct {
	reason   string
	reported time.Duration
}

func (e *Engine) repeatReports(now time.Duration) []policy.Impossible {
	var list []policy.Impossible
	for _, id := range slices.Sorted(maps.Keys(e.parked)) {
		p := e.parked[id]
		if now-p.reported >= reportEvery {
			e.parked[id] = parked{reason: p.reason, reported: now}
			list = append(list, policy.Impossible{Task: id, Reason: p.reason})
		}
	}
	return list
}

// unpark lets all parked tasks wait again.
func (e *Engine) unpark() {
	for _, id := range slices.Sorted(maps.Keys(e.parked)) {
		t := e.waiting[id]
		delete(e.parked, id)
		e.queue.Push(item(&t))
	}
}

// noRoom remembers who waits for room, and explains it once in a while.
func (e *Engine) noRoom(now time.Duration, round *fairness.Round, c *fairness.Candidate, choice *placement.Choice) {
	if c.Class == config.Urgent {
		for _, like := range round.Like(*c, maxRoomsMade) {
			e.urgent[like.ID] = like
		}
	} else if !c.Borrowed {
		e.owners[c.Team] = *c
	}
	if choice.Refused == 0 && !c.Borrowed {
		e.considerHold(now, c)
	}
	last, known := e.reported[c.ID]
	if known && now-last < reportEvery {
		return
	}
	e.reported[c.ID] = now
	reason := "no worker has room"
	if choice.Refused > 0 {
		reason = "services of every worker with room would pass their limit"
	}
	e.explain(policy.Decision{At: now, Subject: c.ID, Kind: "refused", Reason: reason, Figures: []policy.Figure{
		{Name: "candidates", Value: float64(choice.Candidates)},
		{Name: "refused_for_services", Value: float64(choice.Refused)},
		{Name: "waited_s", Value: (now - c.Enqueued).Seconds()},
	}})
}
