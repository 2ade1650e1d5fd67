package engine

import (
	"fmt"
	"math"
	"slices"
	"time"

	"geraniumwall/config"
	"geraniumwall/policy"
	"geraniumwall/policy/interference"
)

// Intervals and thresholds of reactions.
const (
	// evictAfter is the time for which a service must stay over its limit with its
	// neighbours throttled before one of them is evicted. Reports are late, so after a
	// shorter time they would still show the state before the throttling.
	evictAfter = 15 * time.Second
	// minReactionInterval is the minimum time between two reactions on one worker.
	minReactionInterval = 2 * time.Second
	// throttleTargetRatio is the limitRatio that throttling aims at and that relaxing a
	// throttle must not exceed. A lower threshold for relaxing doubles the evictions,
	// since tasks that stay throttled are moved.
	throttleTargetRatio = 0.9
	// evictRatio is the limitRatio above which a neighbour is evicted if throttling has not
	// helped.
	evictRatio = 1.2
	// minCPUShare is the smallest processor share. Less starves a task for no gain.
	minCPUShare = 0.25
	// moveAfter is the time at a reduced share after which a task may be moved.
	// moveHorizon is the longest time over which the cost of staying is counted.
	moveAfter   = 15 * time.Second
	moveHorizon = time.Minute
	// urgentBudgetShare is the fraction of the eviction budget reserved for urgent tasks.
	urgentBudgetShare = 0.5
	// evictionTimeout is the time after which an eviction that was proposed and did not
	// happen may be proposed again.
	evictionTimeout = 10 * time.Second
	// restartCost is the run time that every eviction loses for the start elsewhere.
	restartCost = 2 * time.Second
)

// ProposeReactions proposes evictions that make room for urgent tasks and for teams
// within their quota, then throttles and evictions for services over their limit.
func (e *Engine) ProposeReactions(now time.Duration) []policy.Reaction {
	var out []policy.Reaction
	if !e.rules.NoPreemption {
		out = e.preemptForBlocked(now, out)
	}
	if e.rules.NoReaction {
		return out
	}
	for _, h := range e.hostOrder {
		out = e.reactOnHost(now, h, out)
	}
	return out
}

// serviceSlowdown is the slowdown of a service on a worker and what it may be.
type serviceSlowdown struct {
	interference.Prediction
	// logSlowdown is the logarithm of the slowdown, with the part that the model does not
	// explain.
	logSlowdown float64
	// allowedLogSlowdown is the logSlowdown above which the policy reacts.
	allowedLogSlowdown float64
}

// limitRatio returns the slowdown relative to what is allowed, both as logarithms. The
// policy reacts above 1.
func (s *serviceSlowdown) limitRatio() float64 { return s.logSlowdown / s.allowedLogSlowdown }

// worstService returns the service of the host with the highest limitRatio, or false if
// the host has none.
func (e *Engine) worstService(h *host) (serviceSlowdown, bool) {
	worst := serviceSlowdown{}
	found := false
	for _, prediction := range e.model.Predictions(h.modelWorker) {
		current := serviceSlowdown{Prediction: prediction, logSlowdown: math.Log(prediction.Slowdown * prediction.Unexplained)}
		current.allowedLogSlowdown = e.allowedLogSlowdown(prediction.Service, prediction.P99Seconds/math.Exp(max(0, current.logSlowdown)))
		if !found || current.limitRatio() > worst.limitRatio() {
			worst = current
			found = true
		}
	}
	return worst, found
}

// reactOnHost appends the reactions to interference on one host.
func (e *Engine) reactOnHost(now time.Duration, h *host, out []policy.Reaction) []policy.Reaction {
	if len(h.tasks) == 0 {
		h.breachedSince = -1
		return out
	}
	if h.skipReaction {
		return out
	}
	worst, found := e.worstService(h)
	breached := found && worst.limitRatio() > 1
	h.skipReaction = !breached && h.throttledTasks == 0
	h.trackBreach(now, breached)
	if now-h.lastReactionAt < minReactionInterval {
		return out
	}
	before := len(out)
	out = e.chooseReactions(now, h, &worst, found, out)
	if len(out) > before {
		h.lastReactionAt = now
	}
	return out
}

// trackBreach updates the time since which a service of the host is over its limit.
func (h *host) trackBreach(now time.Duration, breached bool) {
	if !breached {
		h.breachedSince = -1
	} else if h.breachedSince < 0 {
		h.breachedSince = now
	}
}

// chooseReactions reduces interference if the worst service is over its limit and
// otherwise relaxes a throttle.
func (e *Engine) chooseReactions(now time.Duration, h *host, worst *serviceSlowdown, found bool, out []policy.Reaction) []policy.Reaction {
	if found && worst.limitRatio() > 1 {
		return e.reduceInterference(now, h, worst, out)
	}
	return e.relaxThrottle(now, h, worst, found, out)
}

// neighbour is a task that slows a service on its host.
type neighbour struct {
	*task
	// effect is its part of the logarithm of the slowdown at its current share.
	effect float64
	// lostWork is the work that its eviction loses, see Engine.lostWork.
	lostWork float64
}

// neighbours returns the tasks that slow a service, in falling order of their effect
// divided by the weight of their class.
func (e *Engine) neighbours(now time.Duration, h *host, service string, load float64) []neighbour {
	var list []neighbour
	for _, t := range sortedTasks(h.tasks) {
		unthrottled := e.model.Effect(service, t.Job, load) * t.modelWeight
		if t.planned || e.isBeingEvicted(now, t) || unthrottled <= 0 {
			continue
		}
		list = append(list, neighbour{task: t, effect: unthrottled * t.cpuShare, lostWork: e.lostWork(now, t)})
	}
	slices.SortStableFunc(list, func(a, b neighbour) int {
		if a.effect/classWeight(a.Priority) > b.effect/classWeight(b.Priority) {
			return -1
		}
		return 1
	})
	return list
}

// isBeingEvicted reports whether an eviction was proposed within evictionTimeout.
func (e *Engine) isBeingEvicted(now time.Duration, t *task) bool {
	return t.evictionProposed && now-t.evictionProposedAt < evictionTimeout
}

// classWeight returns the weight of lost work of a priority class.
func classWeight(p config.Priority) float64 {
	switch p {
	case config.Urgent:
		return 100
	case config.Normal:
		return 2
	default:
		return 1
	}
}

// lostWork returns the work that an eviction loses, in core-seconds times classWeight.
func (e *Engine) lostWork(now time.Duration, t *task) float64 {
	lost := restartCost
	if !t.Checkpoints {
		lost += now - t.startedAt
	}
	return lost.Seconds() * declaredCores(t) * classWeight(t.Priority)
}

// declaredCores returns the declared size of a task in cores.
func declaredCores(t *task) float64 { return float64(t.Size.CPUMillis) / 1000 }

// reduceInterference moves a task that has been throttled for too long. If there is none,
// it throttles neighbours until the service is predicted to be at throttleTargetRatio. If
// no share can be reduced and the service stays above evictRatio for evictAfter, it evicts
// a neighbour. With NoThrottle it evicts at once.
func (e *Engine) reduceInterference(now time.Duration, h *host, worst *serviceSlowdown, out []policy.Reaction) []policy.Reaction {
	list := e.neighbours(now, h, worst.Service, worst.Load)
	excess := worst.logSlowdown - throttleTargetRatio*worst.allowedLogSlowdown
	throttled := false
	if out, moved := e.moveThrottled(now, h, worst, list, out); moved {
		return out
	}
	for i := range list {
		n := &list[i]
		if excess <= 0 || e.rules.NoThrottle {
			break
		}
		share := e.reducedShare(n, excess)
		if share >= n.cpuShare {
			continue
		}
		excess -= n.effect * (1 - share/n.cpuShare)
		out = append(out, e.setCPUShare(now, h, n.task, share, worst))
		throttled = true
	}
	persists := now-h.breachedSince >= evictAfter && worst.limitRatio() > evictRatio
	if throttled || (!persists && !e.rules.NoThrottle) {
		return out
	}
	return e.evictNeighbour(now, h, worst, list, out)
}

// moveThrottled evicts a task that has been throttled for moveAfter if a restart elsewhere
// costs less than continuing at its share. It reports whether it did.
func (e *Engine) moveThrottled(now time.Duration, h *host, worst *serviceSlowdown, list []neighbour, out []policy.Reaction) ([]policy.Reaction, bool) {
	var best *neighbour
	for i := range list {
		n := &list[i]
		if n.cpuShare == 1 || now-n.cpuShareChangedAt < moveAfter || n.Priority == config.Urgent || !e.hasMinRun(now, n.task) {
			continue
		}
		gain := (1 - n.cpuShare) * min(e.remainingRunTime(now, n.task), moveHorizon).Seconds() * declaredCores(n.task) * classWeight(n.Priority)
		if gain > n.lostWork && (best == nil || e.evictionScore(n) > e.evictionScore(best)) {
			best = n
		}
	}
	if e.rules.NoMove || best == nil || !e.takeEviction(now, urgentBudgetShare) {
		return out, false
	}
	return append(out, e.evict(now, h, best.task, "has been throttled for longer than a start elsewhere costs", []policy.Factor{
		{Name: "share", Value: best.cpuShare},
		{Name: "loss_core_s", Value: best.lostWork},
		{Name: "slowdown", Value: math.Exp(worst.logSlowdown)},
	})), true
}

// reducedShare returns the largest multiple of a quarter that removes the excess, at
// least minCPUShare. Urgent tasks keep their share.
func (e *Engine) reducedShare(n *neighbour, excess float64) float64 {
	if n.Priority == config.Urgent {
		return n.cpuShare
	}
	wanted := n.cpuShare * (1 - excess/n.effect)
	share := math.Floor(wanted*4) / 4
	return max(share, minCPUShare)
}

// setCPUShare proposes a processor share for a running task and updates the model.
func (e *Engine) setCPUShare(now time.Duration, h *host, t *task, share float64, worst *serviceSlowdown) policy.Reaction {
	reason := fmt.Sprintf("%s is predicted over its slowdown limit", worst.Service)
	if share > t.cpuShare {
		reason = "services of the worker are below their limits"
	}
	d := policy.Decision{At: now, Subject: t.ID, Kind: "throttled", Reason: reason, Worker: h.ID, Factors: []policy.Factor{
		{Name: "share", Value: share},
		{Name: "slowdown", Value: math.Exp(worst.logSlowdown)},
		{Name: "limit", Value: math.Exp(worst.allowedLogSlowdown)},
		{Name: "load", Value: worst.Load},
	}}
	e.model.AddWeight(now, h.ID, t.Job, t.modelWeight*(share-t.cpuShare))
	h.throttledTasks += throttledCount(share) - throttledCount(t.cpuShare)
	t.cpuShare = share
	t.cpuShareChangedAt = now
	e.recordDecision(d)
	return policy.Reaction{Kind: policy.Throttle, Task: t.ID, Worker: h.ID, Share: share, Decision: d}
}

// throttledCount returns 1 for the share of a throttled task and 0 otherwise.
func throttledCount(share float64) int {
	if share < 1 {
		return 1
	}
	return 0
}

// relaxThrottle doubles the share of the throttled task for which that has the least
// effect, if the service is predicted to stay within throttleTargetRatio.
func (e *Engine) relaxThrottle(now time.Duration, h *host, worst *serviceSlowdown, found bool, out []policy.Reaction) []policy.Reaction {
	if h.throttledTasks == 0 {
		return out
	}
	var best *task
	leastEffect := math.Inf(1)
	for _, t := range sortedTasks(h.tasks) {
		if t.cpuShare == 1 || t.planned {
			continue
		}
		effect := 0.0
		if found {
			effect = e.model.Effect(worst.Service, t.Job, worst.Load) * t.modelWeight * (min(1, 2*t.cpuShare) - t.cpuShare)
		}
		if effect < leastEffect {
			best, leastEffect = t, effect
		}
	}
	if best == nil || (found && worst.logSlowdown+leastEffect > throttleTargetRatio*worst.allowedLogSlowdown) {
		return out
	}
	return append(out, e.setCPUShare(now, h, best, min(1, 2*best.cpuShare), worst))
}

// evictNeighbour evicts the neighbour with the highest evictionScore among those that are
// not urgent and have run for the minimum.
func (e *Engine) evictNeighbour(now time.Duration, h *host, worst *serviceSlowdown, list []neighbour, out []policy.Reaction) []policy.Reaction {
	var best *neighbour
	for i := range list {
		n := &list[i]
		if n.Priority == config.Urgent || !e.hasMinRun(now, n.task) {
			continue
		}
		if best == nil || e.evictionScore(n) > e.evictionScore(best) {
			best = n
		}
	}
	if best == nil || !e.takeEviction(now, urgentBudgetShare) {
		return out
	}
	h.breachedSince = now
	reason := fmt.Sprintf("%s stays over its slowdown limit although its neighbours are throttled", worst.Service)
	return append(out, e.evict(now, h, best.task, reason, []policy.Factor{
		{Name: "slowdown", Value: math.Exp(worst.logSlowdown)},
		{Name: "limit", Value: math.Exp(worst.allowedLogSlowdown)},
		{Name: "explained", Value: best.effect},
		{Name: "loss_core_s", Value: best.lostWork},
		{Name: "load", Value: worst.Load},
	}))
}

// evictionScore is the slowdown that an eviction removes for the work that it loses.
func (e *Engine) evictionScore(n *neighbour) float64 {
	if e.rules.NoLeastLoss {
		return n.effect
	}
	return n.effect / n.lostWork
}

// hasMinRun reports whether the task has run for the configured minimum since its last
// start or checkpoint. Otherwise it could be evicted again and again without progress.
func (e *Engine) hasMinRun(now time.Duration, t *task) bool {
	ran := now - t.startedAt
	if t.usageMeasuredAt > t.startedAt {
		ran = min(ran, t.sinceCheckpoint+now-t.usageMeasuredAt)
	}
	return e.rules.NoBudget || ran >= time.Duration(e.config.Policy.MinRunMS)*time.Millisecond
}

// takeEviction takes one eviction from the budget if minRemainingShare of the budget of
// a minute remains.
func (e *Engine) takeEviction(now time.Duration, minRemainingShare float64) bool {
	return e.rules.NoBudget || e.evictionBudget.take(now, minRemainingShare*e.evictionBudget.ratePerMinute)
}

// evict proposes the eviction of a task.
func (e *Engine) evict(now time.Duration, h *host, t *task, reason string, factors []policy.Factor) policy.Reaction {
	t.evictionProposed = true
	t.evictionProposedAt = now
	d := policy.Decision{At: now, Subject: t.ID, Kind: "evicted", Reason: reason, Worker: h.ID, Factors: factors}
	e.recordDecision(d)
	return policy.Reaction{Kind: policy.Evict, Task: t.ID, Worker: h.ID, Decision: d}
}
