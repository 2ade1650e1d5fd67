package control

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumwall/config"
	"geraniumwall/lease"
	"geraniumwall/state"
	"geraniumwall/state/statepb"
)

const (
	// deadlineMargin is added to a holder's deadline for the way of its last call.
	deadlineMargin = 500 * time.Millisecond
	// expireBatch bounds the requests in one log entry.
	expireBatch = 512
	// sampleEvery is the resolution of the retention times.
	sampleEvery = time.Minute
	// pruneBatch bounds the records that one log entry drops.
	pruneBatch = 2048
)

// bindDuty binds pending tasks, one batch at a time.
func (r *replica) bindDuty(now time.Duration) {
	lead := r.lead
	if lead.binding || r.machine.PendingCount() == 0 {
		return
	}
	targets := lead.targets(now, r.machine, r.config.load().parsed)
	if len(targets) == 0 {
		return
	}
	bindings := lead.binder.plan(now, r.machine.ScanPending, targets)
	if len(bindings) == 0 {
		return
	}
	lead.binding = true
	c := &statepb.Command{Kind: &statepb.Command_Bind{Bind: &statepb.Bind{Bindings: bindings}}}
	r.decide(c, func(proto.Message, error) { lead.binding = false })
}

// targets returns the domains whose active scheduler holds its lease and has
// reported its load lately, in order of name.
//
// A domain that the configuration no longer declares gets no further tasks.
func (l *leadership) targets(now time.Duration, m *state.Machine, declared *config.Config) []*target {
	var targets []*target
	for _, d := range m.Domains() {
		v := l.domain(d.GetDomain())
		present := d.GetActive() != "" && !v.grantor.SchedulerOver(now) && !v.grantor.Changing()
		if declared != nil && !slices.Contains(declared.Domains, d.GetDomain()) {
			continue
		}
		if !present || v.load == nil || now-v.loadSeen > loadFresh || v.load.GetWorkers() == 0 {
			continue
		}
		targets = append(targets, &target{
			domain: d.GetDomain(), epoch: d.GetEpoch(), free: v.load.GetFree(), largest: v.load.GetLargestFree(),
			waiting: int64(v.load.GetWaiting()), workers: int64(v.load.GetWorkers()),
		})
	}
	return targets
}

type requestKey struct {
	caller string
	key    string
	holder string
}

// deadlines holds when each running request is certainly past its deadline.
type deadlines map[requestKey]time.Duration

// due follows the running requests and returns those past their deadline. A
// request that is new to this leader counts from now.
func (d deadlines) due(now time.Duration, m *state.Machine) []*statepb.RequestKey {
	running := map[requestKey]bool{}
	var due []*statepb.RequestKey
	m.RunningRequests(func(q *statepb.RequestRecord) {
		k := requestKey{q.GetCaller(), q.GetIdempotencyKey(), q.GetHolder()}
		running[k] = true
		at, known := d[k]
		if !known {
			at = now + lease.GrantorWait(time.Duration(q.GetDeadlineMs())*time.Millisecond) + deadlineMargin
			d[k] = at
		}
		if now >= at && len(due) < expireBatch {
			due = append(due, &statepb.RequestKey{Caller: k.caller, IdempotencyKey: k.key, Holder: k.holder})
		}
	})
	for k := range d {
		if !running[k] {
			delete(d, k)
		}
	}
	return due
}

func (r *replica) deadlineDuty(now time.Duration) {
	due := r.lead.deadlines.due(now, r.machine)
	if len(due) == 0 {
		return
	}
	for _, k := range due {
		// A proposal that fails is repeated after the margin.
		r.lead.deadlines[requestKey{k.GetCaller(), k.GetIdempotencyKey(), k.GetHolder()}] = now + deadlineMargin
	}
	c := &statepb.Command{Kind: &statepb.Command_ExpireRequests{ExpireRequests: &statepb.ExpireRequests{Requests: due}}}
	r.decide(c, func(proto.Message, error) {})
}

// sample is the index that was applied at a time.
type sample struct {
	at    time.Duration
	index uint64
}

// retention maps ages to log indexes.
type retention struct {
	samples []sample
	busy    bool
}

// note records the present index.
func (t *retention) note(now time.Duration, index uint64, longest time.Duration) {
	if n := len(t.samples); n == 0 || now-t.samples[n-1].at >= sampleEvery {
		t.samples = append(t.samples, sample{now, index})
	}
	for len(t.samples) > 1 && now-t.samples[1].at > longest {
		t.samples = t.samples[1:]
	}
}

// before returns the newest index that is known to be older than age, 0 if none.
func (t *retention) before(now, age time.Duration) uint64 {
	var index uint64
	for _, s := range t.samples {
		if now-s.at >= age {
			index = s.index
		}
	}
	return index
}

func (r *replica) retentionDuty(now time.Duration) {
	t := &r.lead.retention
	keep := r.options.Retention
	t.note(now, r.machine.Index(), max(keep.Tasks, keep.Requests))
	tasks, requests := t.before(now, keep.Tasks), t.before(now, keep.Requests)
	tasks = max(tasks, r.machine.EndedBeyond(keep.MaxTasks))
	if t.busy || !r.machine.HasEnded(tasks, requests) {
		return
	}
	t.busy = true
	c := &statepb.Command{Kind: &statepb.Command_Prune{Prune: &statepb.Prune{
		TasksThrough: tasks, RequestsThrough: requests, Limit: pruneBatch,
	}}}
	r.decide(c, func(proto.Message, error) { t.busy = false })
}
