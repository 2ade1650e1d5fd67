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

// Intervals of placement.
const (
	// fleetSettleTime is the time without new workers after which the domain counts as
	// complete, so that a task that fits no worker is reported as unschedulable. After a
	// failover, workers announce themselves every 0.5 s.
	fleetSettleTime = 5 * time.Second
	// reportInterval is the interval at which an unschedulable task is reported, and a
	// lack of room explained, again.
	reportInterval = 10 * time.Second
	// searchRetryInterval is the time after which a failed search is repeated even if no
	// capacity was freed, since loads and the learned model change.
	searchRetryInterval = time.Second
	// forcedPlacementInterval is the minimum time between two placements of overdue tasks
	// that ignore the limits of services.
	forcedPlacementInterval = 10 * time.Second
)

// searchKey identifies searches for a host that give the same result.
type searchKey struct {
	job  string
	need workerapi.Resources
	// force places the task even where a service would exceed its limit.
	force bool
}

// failedSearch is the last search that found no host. It is not repeated at once while
// index.Freed still equals freedCount.
type failedSearch struct {
	freedCount uint64
	at         time.Duration
}

// maxFailedSearches is the number of remembered searches above which all are dropped.
const maxFailedSearches = 4096

// ProposeStarts proposes up to limit placements, most important first, and returns the
// tasks that can never run.
func (e *Engine) ProposeStarts(now time.Duration, limit int) ([]policy.Placement, []policy.Unschedulable) {
	e.rejectUnanswered(now)
	e.health.Step(now)
	e.applyHealthChanges(now)
	e.expireHolds(now)
	e.expireReservations(now)
	clear(e.blockedUrgent)
	clear(e.blockedWithinQuota)
	if len(e.failedSearches) > maxFailedSearches {
		clear(e.failedSearches)
	}
	var placements []policy.Placement
	unschedulable := e.repeatUnschedulable(now)
	round := e.queue.Round(now)
	placements = e.placeOnHeldHosts(now, round, limit, placements)
	for len(placements) < limit {
		c, found := round.Pick()
		if !found {
			break
		}
		if reason := e.failedEverywhereReason(now, &c); reason != "" {
			unschedulable = append(unschedulable, e.markUnschedulable(now, &c, reason))
			continue
		}
		choice := e.chooseHost(now, &c)
		if choice.Host != nil {
			placements = append(placements, e.place(now, round, &c, &choice))
			continue
		}
		if reason := e.neverFitsReason(now, &c); reason != "" {
			unschedulable = append(unschedulable, e.markUnschedulable(now, &c, reason))
			continue
		}
		e.recordNoRoom(now, round, &c, &choice)
		round.Block(c)
	}
	return placements, unschedulable
}

// place plans the candidate on the chosen host and returns the proposal.
func (e *Engine) place(now time.Duration, round *fairness.Round, c *fairness.Candidate, choice *placement.Choice) policy.Placement {
	round.Take(*c)
	e.planTask(now, c, e.hosts[choice.Host.ID])
	return e.proposal(now, c, choice)
}

// rejectUnanswered treats proposals without an answer as rejected.
func (e *Engine) rejectUnanswered(now time.Duration) {
	for len(e.planned) > 0 {
		id := e.planned[0]
		e.Rejected(now, id, e.tasks[id].worker)
	}
}

func (e *Engine) placementRequest(c *fairness.Candidate) placement.Request {
	r := placement.Request{Task: c.ID, Job: c.Job, Need: c.Need, Declared: c.Size, JobNumber: e.model.JobIndex(c.Job), Apart: e.antiAffinity[c.Job]}
	if failed := e.health.FailedOn(c.ID); len(failed) > 0 {
		r.Avoid = map[string]bool{}
		for _, id := range failed {
			r.Avoid[id] = true
		}
	}
	return r
}

// chooseHost returns a host for the candidate, or a choice without a host.
func (e *Engine) chooseHost(now time.Duration, c *fairness.Candidate) placement.Choice {
	r := e.placementRequest(c)
	if c.Class == config.Urgent {
		if choice, claimed := e.claimReservation(&r); claimed {
			return choice
		}
	}
	force := c.Class == config.Urgent || (c.Overdue(now) && now-e.lastForcedAt >= forcedPlacementInterval)
	key := searchKey{job: c.Job, need: c.Need, force: force}
	previous, failed := e.failedSearches[key]
	if failed && previous.freedCount == e.index.Freed && now-previous.at < searchRetryInterval {
		return placement.Choice{}
	}
	choice := e.chooser.Choose(&r, force)
	if choice.Host == nil {
		e.failedSearches[key] = failedSearch{freedCount: e.index.Freed, at: now}
		return choice
	}
	if force && c.Class != config.Urgent {
		e.lastForcedAt = now
	}
	return choice
}

func (e *Engine) proposal(now time.Duration, c *fairness.Candidate, choice *placement.Choice) policy.Placement {
	d := policy.Decision{
		At: now, Subject: c.ID, Kind: "placed", Worker: choice.Host.ID,
		Reason: fmt.Sprintf("lowest score of %d workers with room", choice.Candidates),
		Factors: []policy.Factor{
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

// failedEverywhereReason returns why the task itself is at fault for its failures, or ""
// if it may be tried again.
func (e *Engine) failedEverywhereReason(now time.Duration, c *fairness.Candidate) string {
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

// neverFitsReason returns why no worker of the domain can ever run the candidate, or "".
func (e *Engine) neverFitsReason(now time.Duration, c *fairness.Candidate) string {
	if e.index.Len() == 0 || now-e.lastJoinAt < fleetSettleTime {
		return ""
	}
	r := placement.Request{Job: c.Job, Need: c.Need, Apart: e.antiAffinity[c.Job]}
	_, reason := e.index.Possible(now, &r)
	return reason
}

// overQuotaReason returns why the quota of the team can never admit the task, or "".
func (e *Engine) overQuotaReason(t *policy.Task) string {
	if e.queue.Possible(t.Team, t.Size) {
		return ""
	}
	quota := e.queue.Quota(t.Team)
	return fmt.Sprintf("needs %s, but the quota of team %s is %s; raise the quota or reduce the size",
		placement.Amounts(t.Size), t.Team, placement.Amounts(quota))
}

// markUnschedulable removes a task that can never run from the queue. It is reported until
// it is dequeued, and queued again when a worker joins or the configuration changes.
func (e *Engine) markUnschedulable(now time.Duration, c *fairness.Candidate, reason string) policy.Unschedulable {
	e.queue.Remove(c.ID)
	e.unschedulable[c.ID] = unschedulableTask{reason: reason, reportedAt: now}
	e.recordDecision(policy.Decision{At: now, Subject: c.ID, Kind: "refused", Reason: reason, Factors: []policy.Factor{
		{Name: "cpu_millis", Value: float64(c.Need.CPUMillis)},
		{Name: "memory_mb", Value: float64(c.Need.MemoryMB)},
		{Name: "accelerators", Value: float64(c.Need.Accelerators)},
		{Name: "failures", Value: float64(len(e.health.FailedOn(c.ID)))},
	}})
	return policy.Unschedulable{Task: c.ID, Reason: reason}
}

// unschedulableTask is a task that can never run, with the time of its last report.
type unschedulableTask struct {
	reason     string
	reportedAt time.Duration
}

// repeatUnschedulable returns the unschedulable tasks whose report is due again.
func (e *Engine) repeatUnschedulable(now time.Duration) []policy.Unschedulable {
	var list []policy.Unschedulable
	for _, id := range slices.Sorted(maps.Keys(e.unschedulable)) {
		entry := e.unschedulable[id]
		if now-entry.reportedAt >= reportInterval {
			e.unschedulable[id] = unschedulableTask{reason: entry.reason, reportedAt: now}
			list = append(list, policy.Unschedulable{Task: id, Reason: entry.reason})
		}
	}
	return list
}

// requeueUnschedulable puts all unschedulable tasks back into the queue.
func (e *Engine) requeueUnschedulable() {
	for _, id := range slices.Sorted(maps.Keys(e.unschedulable)) {
		t := e.waiting[id]
		delete(e.unschedulable, id)
		e.queue.Push(queueItem(&t))
	}
}

// recordNoRoom records a candidate without room for preemption, tries to hold a host for
// it, and explains the refusal at most once per reportInterval.
func (e *Engine) recordNoRoom(now time.Duration, round *fairness.Round, c *fairness.Candidate, choice *placement.Choice) {
	if c.Class == config.Urgent {
		for _, similar := range round.Like(*c, maxPreemptions) {
			e.blockedUrgent[similar.ID] = similar
		}
	} else if !c.Borrowed {
		e.blockedWithinQuota[c.Team] = *c
	}
	if choice.Refused == 0 && !c.Borrowed {
		e.tryHold(now, c)
	}
	last, known := e.explainedAt[c.ID]
	if known && now-last < reportInterval {
		return
	}
	e.explainedAt[c.ID] = now
	reason := "no worker has room"
	if choice.Refused > 0 {
		reason = "services of every worker with room would pass their limit"
	}
	e.recordDecision(policy.Decision{At: now, Subject: c.ID, Kind: "refused", Reason: reason, Factors: []policy.Factor{
		{Name: "candidates", Value: float64(choice.Candidates)},
		{Name: "refused_for_services", Value: float64(choice.Refused)},
		{Name: "waited_s", Value: (now - c.Enqueued).Seconds()},
	}})
}
