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

// Times and bounds of reactions.
const (
	// evictAfter is the time for which a service must stay over its limit with its
	// neighbours throttled before one of them is evicted. Reports are late, so a
	// shorter time judges the state before the throttling.
	evictAfter = 15 * time.Second
	// minReactionInterval is the time between two reactions on one worker.
	minReactionInterval = 2 * time.Second
	// throttleTargetRatio is the part of the limit that throttling aims at and that relaxing
	// a throttle must not pass. Waiting for a lower part before relaxing doubled the
	// evictions, since tasks that stay throttled are moved.
	throttleTargetRatio = 0.9
	// evictRatio is the part of the limit above which throttled tasks are evicted.
	evictRatio = 1.2
	// minCPUShare is the smallest processor share; less starves a task for no gain.
	minCPUShare = 0.25
	// moveAfter is the time at a reduced share after which a task may be moved,
	// moveHorizon the time over which the cost of staying is counted.
	moveAfter   = 15 * time.Second
	moveHorizon = time.Minute
	// urgentBudgetShare is the part of the eviction budget kept for urgent tasks.
	urgentBudgetShare = 0.5
	// evictionTimeout is the time after which a proposed eviction that did not
	// happen may be proposed again.
	evictionTimeout = 10 * time.Second
	// restartCost is the work that any eviction loses: the start elsewhere.
	restartCost = 2 * time.Second
)

// React proposes reactions: room for urgent work and for teams within their
// quota, then relief for services over their limit.
func (e *Engine) React(now time.Duration) []policy.Reaction {
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

// serviceSlowdown is the worst service of a worker.
type serviceSlowdown struct {
	interference.Prediction
	// logSlowdown is the logarithm of the slowdown with what the model can't explain.
	logSlowdown float64
	// allowedLogSlowdown is the effect from which the policy reacts.
	allowedLogSlowdown float64
}

// limitRatio is the effect as a limitRatio of what is allowed.
func (s *serviceSlowdown) limitRatio() float64 { return s.logSlowdown / s.allowedLogSlowdown }

func (e *Engine) worstService(h *host) (serviceSlowdown, bool) {
	worst := serviceSlowdown{}
	found := false
	for _, o := range e.model.Predictions(h.modelWorker) {
		current := serviceSlowdown{Prediction: o, logSlowdown: math.Log(o.Slowdown * o.Unexplained)}
		current.allowedLogSlowdown = e.allowedLogSlowdown(o.Service, o.P99Seconds/math.Exp(max(0, current.logSlowdown)))
		if !found || current.limitRatio() > worst.limitRatio() {
			worst = current
			found = true
		}
	}
	return worst, found
}

// reactOnHost decides for one worker.
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

// trackBreach keeps the time since which a service of the worker is over its limit.
func (h *host) trackBreach(now time.Duration, breached bool) {
	if !breached {
		h.breachedSince = -1
	} else if h.breachedSince < 0 {
		h.breachedSince = now
	}
}

func (e *Engine) chooseReactions(now time.Duration, h *host, worst *serviceSlowdown, found bool, out []policy.Reaction) []policy.Reaction {
	if found && worst.limitRatio() > 1 {
		return e.reduceInterference(now, h, worst, out)
	}
	return e.relaxThrottle(now, h, worst, found, out)
}

// neighbour is a task that slows the service.
type neighbour struct {
	*task
	// effect is its part of the slowdown at its present share.
	effect float64
	// lostWork is the work lost by its eviction, in core-seconds weighted by class.
	lostWork float64
}

// neighbours returns the tasks that slow a service, most effect first.
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

func (e *Engine) isBeingEvicted(now time.Duration, t *task) bool {
	return t.evictionProposed && now-t.evictionProposedAt < evictionTimeout
}

// classWeight weighs work by its class.
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

// lostWork is the work that an eviction loses, in core-seconds weighted by class.
func (e *Engine) lostWork(now time.Duration, t *task) float64 {
	lost := restartCost
	if !t.Checkpoints {
		lost += now - t.startedAt
	}
	return lost.Seconds() * declaredCores(t) * classWeight(t.Priority)
}

// declaredCores is the declared size of a task in processors.
func declaredCores(t *task) float64 { return float64(t.Size.CPUMillis) / 1000 }

// reduceInterference throttles neighbours until the service is predicted to be within its
// limit; when that doesn't help for long enough, it evicts one.
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

// moveThrottled evicts a task that has been throttled for so long that the start
// elsewhere costs less than going on at its share.
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
	return append(out, e.evict(now, h, best.task, "has been throttled for longer than a start elsewhere costs", []policy.Figure{
		{Name: "share", Value: best.cpuShare},
		{Name: "loss_core_s", Value: best.lostWork},
		{Name: "slowdown", Value: math.Exp(worst.logSlowdown)},
	})), true
}

// reducedShare is the largest share in quarters that removes the excess.
func (e *Engine) reducedShare(n *neighbour, excess float64) float64 {
	if n.Priority == config.Urgent {
		return n.cpuShare
	}
	wanted := n.cpuShare * (1 - excess/n.effect)
	share := math.Floor(wanted*4) / 4
	return max(share, minCPUShare)
}

func (e *Engine) setCPUShare(now time.Duration, h *host, t *task, share float64, worst *serviceSlowdown) policy.Reaction {
	reason := fmt.Sprintf("%s is predicted over its slowdown limit", worst.Service)
	if share > t.cpuShare {
		reason = "services of the worker are below their limits"
	}
	d := policy.Decision{At: now, Subject: t.ID, Kind: "throttled", Reason: reason, Worker: h.ID, Figures: []policy.Figure{
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

// throttledCount is 1 for the share of a throttled task and 0 otherwise.
func throttledCount(share float64) int {
	if share < 1 {
		return 1
	}
	return 0
}

// relaxThrottle doubles the share of the throttled task with the least effect if the
// service is predicted to stay below its limit.
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

// evictNeighbour evicts the neighbour that explains most of the slowdown for the least
// lost work.
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
	return append(out, e.evict(now, h, best.task, reason, []policy.Figure{
		{Name: "slowdown", Value: math.Exp(worst.logSlowdown)},
		{Name: "limit", Value: math.Exp(worst.allowedLogSlowdown)},
		{Name: "explained", Value: best.effect},
		{Name: "loss_core_s", Value: best.lostWork},
		{Name: "load", Value: worst.Load},
	}))
}

func (e *Engine) evictionScore(n *neighbour) float64 {
	if e.rules.NoLeastLoss {
		return n.effect
	}
	return n.effect / n.lostWork
}

// hasMinRun protects a task from being moved again before it got anything done
// since its last checkpoint.
func (e *Engine) hasMinRun(now time.Duration, t *task) bool {
	ran := now - t.startedAt
	if t.usageMeasuredAt > t.startedAt {
		ran = min(ran, t.sinceCheckpoint+now-t.usageMeasuredAt)
	}
	return e.rules.NoBudget || ran >= time.Duration(e.config.Policy.MinRunMS)*time.Millisecond
}

// takeEviction takes one eviction from the budget; keep is the part that must be left.
func (e *Engine) takeEviction(now time.Duration, minRemainingShare float64) bool {
	return e.rules.NoBudget || e.evictionBudget.take(now, minRemainingShare*e.evictionBudget.ratePerMinute)
}

func (e *Engine) evict(now time.Duration, h *host, t *task, reason string, figures []policy.Figure) policy.Reaction {
	t.evictionProposed = true
	t.evictionProposedAt = now
	d := policy.Decision{At: now, Subject: t.ID, Kind: "evicted", Reason: reason, Worker: h.ID, Figures: figures}
	e.recordDecision(d)
	return policy.Reaction{Kind: policy.Evict, Task: t.ID, Worker: h.ID, Decision: d}
}
