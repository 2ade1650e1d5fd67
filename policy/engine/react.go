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
	// persistFor is the time for which a service must stay over its limit with its
	// neighbours throttled before one of them is evicted. Reports are late, so a
	// shorter time judges the state before the throttling.
	persistFor = 15 * time.Second
	// settleReaction is the time between two reactions on one worker.
	settleReaction = 2 * time.Second
	// throttleTo is the part of the limit that throttling aims at and that relaxing
	// a throttle must not pass. Waiting for a lower part before relaxing doubled the
	// evictions, since tasks that stay throttled are moved.
	throttleTo = 0.9
	// evictAbove is the part of the limit above which throttled tasks are evicted.
	evictAbove = 1.2
	// leastShare is the smallest processor share; less starves a task for no gain.
	leastShare = 0.25
	// moveAfter is the time at a reduced share after which a task may be moved,
	// moveHorizon the time over which the cost of staying is counted.
	moveAfter   = 15 * time.Second
	moveHorizon = time.Minute
	// urgentKeep is the part of the eviction budget kept for urgent tasks.
	urgentKeep = 0.5
	// evictionTimeout is the time after which a proposed eviction that did not
	// happen may be proposed again.
	evictionTimeout = 10 * time.Second
	// restartLoss is the work that any eviction loses: the start elsewhere.
	restartLoss = 2 * time.Second
)

// React proposes reactions: room for urgent work and for teams within their
// quota, then relief for services over their limit.
func (e *Engine) React(now time.Duration) []policy.Reaction {
	var out []policy.Reaction
	if !e.rules.NoPreemption {
		out = e.makeRoom(now, out)
	}
	if e.rules.NoReaction {
		return out
	}
	for _, h := range e.hostOrder {
		out = e.relieve(now, h, out)
	}
	return out
}

// pressure is the worst service of a worker.
type pressure struct {
	interference.Outlook
	// effect is the logarithm of the slowdown with what the model can't explain.
	effect float64
	// allowed is the effect from which the policy reacts.
	allowed float64
}

// part is the effect as a part of what is allowed.
func (p *pressure) part() float64 { return p.effect / p.allowed }

func (e *Engine) pressure(h *host) (pressure, bool) {
	worst := pressure{}
	found := false
	for _, o := range e.model.Outlooks(h.modelWorker) {
		one := pressure{Outlook: o, effect: math.Log(o.Slowdown * o.Unexplained)}
		one.allowed = e.allowance(o.Service, o.P99Seconds/math.Exp(max(0, one.effect)))
		if !found || one.part() > worst.part() {
			worst = one
			found = true
		}
	}
	return worst, found
}

// relieve decides for one worker.
func (e *Engine) relieve(now time.Duration, h *host, out []policy.Reaction) []policy.Reaction {
	if len(h.tasks) == 0 {
		h.breachedSince = -1
		return out
	}
	if h.skipReaction {
		return out
	}
	worst, pressed := e.pressure(h)
	breached := pressed && worst.part() > 1
	h.skipReaction = !breached && h.throttledTasks == 0
	h.note(now, breached)
	if now-h.lastReactionAt < settleReaction {
		return out
	}
	before := len(out)
	out = e.reactTo(now, h, &worst, pressed, out)
	if len(out) > before {
		h.lastReactionAt = now
	}
	return out
}

// note keeps the time since which a service of the worker is over its limit.
func (h *host) note(now time.Duration, breached bool) {
	if !breached {
		h.breachedSince = -1
	} else if h.breachedSince < 0 {
		h.breachedSince = now
	}
}

func (e *Engine) reactTo(now time.Duration, h *host, worst *pressure, pressed bool, out []policy.Reaction) []policy.Reaction {
	if pressed && worst.part() > 1 {
		return e.reduce(now, h, worst, out)
	}
	return e.relax(now, h, worst, pressed, out)
}

// neighbour is a task that slows the service.
type neighbour struct {
	*task
	// effect is its part of the slowdown at its present share.
	effect float64
	// loss is the work lost by its eviction, in core-seconds weighted by class.
	loss float64
}

// neighbours returns the tasks that slow a service, most effect first.
func (e *Engine) neighbours(now time.Duration, h *host, service string, load float64) []neighbour {
	var list []neighbour
	for _, t := range sortedTasks(h.tasks) {
		full := e.model.Effect(service, t.Job, load) * t.modelWeight
		if t.planned || e.isLeaving(now, t) || full <= 0 {
			continue
		}
		list = append(list, neighbour{task: t, effect: full * t.cpuShare, loss: e.loss(now, t)})
	}
	slices.SortStableFunc(list, func(a, b neighbour) int {
		if a.effect/classCost(a.Priority) > b.effect/classCost(b.Priority) {
			return -1
		}
		return 1
	})
	return list
}

func (e *Engine) isLeaving(now time.Duration, t *task) bool {
	return t.evictionProposed && now-t.evictionProposedAt < evictionTimeout
}

// classCost weighs work by its class.
func classCost(p config.Priority) float64 {
	switch p {
	case config.Urgent:
		return 100
	case config.Normal:
		return 2
	default:
		return 1
	}
}

// loss is the work that an eviction loses, in core-seconds weighted by class.
func (e *Engine) loss(now time.Duration, t *task) float64 {
	lost := restartLoss
	if !t.Checkpoints {
		lost += now - t.startedAt
	}
	return lost.Seconds() * cores(t) * classCost(t.Priority)
}

// cores is the declared size of a task in processors.
func cores(t *task) float64 { return float64(t.Size.CPUMillis) / 1000 }

// reduce throttles neighbours until the service is predicted to be within its
// limit; when that doesn't help for long enough, it evicts one.
func (e *Engine) reduce(now time.Duration, h *host, worst *pressure, out []policy.Reaction) []policy.Reaction {
	list := e.neighbours(now, h, worst.Service, worst.Load)
	excess := worst.effect - throttleTo*worst.allowed
	throttled := false
	if out, moved := e.moveOne(now, h, worst, list, out); moved {
		return out
	}
	for i := range list {
		n := &list[i]
		if excess <= 0 || e.rules.NoThrottle {
			break
		}
		share := e.shareFor(n, excess)
		if share >= n.cpuShare {
			continue
		}
		excess -= n.effect * (1 - share/n.cpuShare)
		out = append(out, e.throttle(now, h, n.task, share, worst))
		throttled = true
	}
	persists := now-h.breachedSince >= persistFor && worst.part() > evictAbove
	if throttled || (!persists && !e.rules.NoThrottle) {
		return out
	}
	return e.evictOne(now, h, worst, list, out)
}

// moveOne evicts a task that has been throttled for so long that the start
// elsewhere costs less than going on at its share.
func (e *Engine) moveOne(now time.Duration, h *host, worst *pressure, list []neighbour, out []policy.Reaction) ([]policy.Reaction, bool) {
	var best *neighbour
	for i := range list {
		n := &list[i]
		if n.cpuShare == 1 || now-n.cpuShareChangedAt < moveAfter || n.Priority == config.Urgent || !e.ranEnough(now, n.task) {
			continue
		}
		gain := (1 - n.cpuShare) * min(e.remainingRunTime(now, n.task), moveHorizon).Seconds() * cores(n.task) * classCost(n.Priority)
		if gain > n.loss && (best == nil || e.worth(n) > e.worth(best)) {
			best = n
		}
	}
	if e.rules.NoMove || best == nil || !e.spend(now, urgentKeep) {
		return out, false
	}
	return append(out, e.evict(now, h, best.task, "has been throttled for longer than a start elsewhere costs", []policy.Figure{
		{Name: "share", Value: best.cpuShare},
		{Name: "loss_core_s", Value: best.loss},
		{Name: "slowdown", Value: math.Exp(worst.effect)},
	})), true
}

// shareFor is the largest share in quarters that removes the excess.
func (e *Engine) shareFor(n *neighbour, excess float64) float64 {
	if n.Priority == config.Urgent {
		return n.cpuShare
	}
	wanted := n.cpuShare * (1 - excess/n.effect)
	share := math.Floor(wanted*4) / 4
	return max(share, leastShare)
}

func (e *Engine) throttle(now time.Duration, h *host, t *task, share float64, worst *pressure) policy.Reaction {
	reason := fmt.Sprintf("%s is predicted over its slowdown limit", worst.Service)
	if share > t.cpuShare {
		reason = "services of the worker are below their limits"
	}
	d := policy.Decision{At: now, Subject: t.ID, Kind: "throttled", Reason: reason, Worker: h.ID, Figures: []policy.Figure{
		{Name: "share", Value: share},
		{Name: "slowdown", Value: math.Exp(worst.effect)},
		{Name: "limit", Value: math.Exp(worst.allowed)},
		{Name: "load", Value: worst.Load},
	}}
	e.model.Change(now, h.ID, t.Job, t.modelWeight*(share-t.cpuShare))
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

// relax doubles the share of the throttled task with the least effect if the
// service is predicted to stay below its limit.
func (e *Engine) relax(now time.Duration, h *host, worst *pressure, pressed bool, out []policy.Reaction) []policy.Reaction {
	if h.throttledTasks == 0 {
		return out
	}
	var best *task
	least := math.Inf(1)
	for _, t := range sortedTasks(h.tasks) {
		if t.cpuShare == 1 || t.planned {
			continue
		}
		effect := 0.0
		if pressed {
			effect = e.model.Effect(worst.Service, t.Job, worst.Load) * t.modelWeight * (min(1, 2*t.cpuShare) - t.cpuShare)
		}
		if effect < least {
			best, least = t, effect
		}
	}
	if best == nil || (pressed && worst.effect+least > throttleTo*worst.allowed) {
		return out
	}
	return append(out, e.throttle(now, h, best, min(1, 2*best.cpuShare), worst))
}

// evictOne evicts the neighbour that explains most of the slowdown for the least
// lost work.
func (e *Engine) evictOne(now time.Duration, h *host, worst *pressure, list []neighbour, out []policy.Reaction) []policy.Reaction {
	var best *neighbour
	for i := range list {
		n := &list[i]
		if n.Priority == config.Urgent || !e.ranEnough(now, n.task) {
			continue
		}
		if best == nil || e.worth(n) > e.worth(best) {
			best = n
		}
	}
	if best == nil || !e.spend(now, urgentKeep) {
		return out
	}
	h.breachedSince = now
	reason := fmt.Sprintf("%s stays over its slowdown limit although its neighbours are throttled", worst.Service)
	return append(out, e.evict(now, h, best.task, reason, []policy.Figure{
		{Name: "slowdown", Value: math.Exp(worst.effect)},
		{Name: "limit", Value: math.Exp(worst.allowed)},
		{Name: "explained", Value: best.effect},
		{Name: "loss_core_s", Value: best.loss},
		{Name: "load", Value: worst.Load},
	}))
}

func (e *Engine) worth(n *neighbour) float64 {
	if e.rules.NoLeastLoss {
		return n.effect
	}
	return n.effect / n.loss
}

// ranEnough protects a task from being moved again before it got anything done
// since its last checkpoint.
func (e *Engine) ranEnough(now time.Duration, t *task) bool {
	ran := now - t.startedAt
	if t.usageMeasuredAt > t.startedAt {
		ran = min(ran, t.sinceCheckpoint+now-t.usageMeasuredAt)
	}
	return e.rules.NoBudget || ran >= time.Duration(e.config.Policy.MinRunMS)*time.Millisecond
}

// spend takes one eviction from the budget; keep is the part that must be left.
func (e *Engine) spend(now time.Duration, keep float64) bool {
	return e.rules.NoBudget || e.evictionBudget.take(now, keep*e.evictionBudget.ratePerMinute)
}

func (e *Engine) evict(now time.Duration, h *host, t *task, reason string, figures []policy.Figure) policy.Reaction {
	t.evictionProposed = true
	t.evictionProposedAt = now
	d := policy.Decision{At: now, Subject: t.ID, Kind: "evicted", Reason: reason, Worker: h.ID, Figures: figures}
	e.recordDecision(d)
	return policy.Reaction{Kind: policy.Evict, Task: t.ID, Worker: h.ID, Decision: d}
}
