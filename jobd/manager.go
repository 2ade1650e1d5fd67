package jobd

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"geraniumwall/delivery"
	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch"
	"geraniumwall/replicate"
)

const (
	// endedJobRetention is how long ended jobs are kept.
	endedJobRetention = 150 * time.Second
	pruneInterval     = time.Second
	// maxOrderDelay limits how long an order waits for the leader's lease to be renewed.
	maxOrderDelay = 1500 * time.Millisecond
	// maintainInterval is the interval between updates of the carriers.
	maintainInterval = 200 * time.Millisecond
	// publishInterval is the interval at which the membership is published for the metrics.
	publishInterval = 200 * time.Millisecond
	// membershipInterval is the interval between changes of the membership. It bounds the time
	// between the two steps of a replacement, in which fewer replicas vote.
	membershipInterval = 50 * time.Millisecond
)

// manager is the state of a replica. It is only accessed on the control thread.
type manager struct {
	settings *Settings
	log      zerolog.Logger
	replica  *replicate.Replica
	store    *jobs.Store
	// dispatcher is set while this replica leads.
	dispatcher *dispatch.Dispatcher
	term       uint64
	// leadingSince is when the dispatcher was started.
	leadingSince time.Duration
	workers      WorkerClient
	post         func(func())
	now          func() time.Duration
	metrics      *Metrics
	taskLogs     logLimiter
	// repeatLogs limits the lines about repeated attempts.
	repeatLogs logLimiter
	status     statusReport
	// refusalLogs limits the lines about refused submissions.
	refusalLogs logLimiter
	unsettled   unsettledSubmissions

	// proposals are the commands for the log while this replica leads.
	proposals      *proposalQueue
	nextMaintainAt time.Duration
	// nextMembershipAt is when the membership is looked at next.
	nextMembershipAt time.Duration
	// nextPublishAt is when the membership is next published for the metrics.
	nextPublishAt time.Duration
	nextPruneAt   time.Duration
	// heldOrders are orders that wait until the leader's lease is confirmed. Without the
	// lease another leader may already be active.
	heldOrders []heldOrder
	// sender distributes orders over the other replicas while this one leads.
	sender *delivery.Sender
	client *http.Client
	// largeFleet is set while the fleet is large. Handlers read it.
	largeFleet atomic.Bool
	// orderCtx is cancelled when this replica loses leadership.
	orderCtx     context.Context
	cancelOrders context.CancelFunc
}

// heldOrder is an order that waits to be sent.
type heldOrder struct {
	order     dispatch.Order
	decidedAt time.Duration
}

// Apply implements replicate.StateMachine.
func (m *manager) Apply(data []byte) any {
	batch, err := jobs.Decode(data)
	if err != nil {
		panic(err.Error())
	}
	results := make([]jobs.Result, len(batch))
	for i := range batch {
		results[i] = m.store.Apply(batch[i])
		m.logApplied(&batch[i], results[i])
	}
	return results
}

// logApplied logs the effects of a committed command that matter to callers and
// operators.
func (m *manager) logApplied(c *jobs.Command, r jobs.Result) {
	if !r.Applied {
		return
	}
	switch {
	case c.Configure != nil:
		m.log.Info().Int64("version", c.Configure.Config.Version).Int("queues", len(c.Configure.Config.Queues)).
			Msg("configuration activated")
	case c.Evacuate != nil:
		m.log.Info().Str("domain", c.Evacuate.Domain).Str("operator", c.Evacuate.By).Msg("failure domain evacuated")
	case c.EndEvacuation != nil:
		m.log.Info().Str("domain", c.EndEvacuation.Domain).Str("operator", c.EndEvacuation.By).Msg("evacuation revoked")
	case c.RecordStarts != nil && m.dispatcher != nil:
		m.logStarts(c.RecordStarts)
	case c.End != nil && m.dispatcher != nil:
		if j := m.store.Job(c.End.Task.Job); j != nil {
			m.logEnd(j, c.End)
		}
	}
}

// logStarts logs the jobs that were not known to have started.
func (m *manager) logStarts(c *jobs.RecordStarts) {
	for _, id := range c.Jobs {
		if j := m.store.Job(id); j != nil && j.StartedAt == c.At {
			m.log.Info().Str("job", id).Int64("took_ms", j.StartedAt-j.AcceptedAt).Msg("job started")
		}
	}
}

// logEnd logs the end of a job with the attempt that ended it.
func (m *manager) logEnd(j *jobs.Job, c *jobs.End) {
	if c.Outcome == jobs.OutcomeCrashed {
		m.metrics.recordCrash(j)
	}
	if !j.State.Ended() || j.EndedAt != c.At {
		return
	}
	t := j.Task(c.Task)
	m.log.Info().Str("job", j.ID).Str("state", string(j.State)).Int64("took_ms", j.EndedAt-j.AcceptedAt).
		Int("occurrence", t.Key.Occurrence).Int("step", t.Key.Step).Int("task", t.Key.Index).Int("attempt", c.Attempt).
		Str("outcome", string(c.Outcome)).Int("failures", t.Failures).Int("crashes", t.Crashes).Msg("job ended")
	m.metrics.recordJobEnded(j)
}

// Snapshot implements replicate.StateMachine.
func (m *manager) Snapshot() ([]byte, error) { return m.store.Snapshot() }

// Restore implements replicate.StateMachine.
func (m *manager) Restore(data []byte) error {
	store, err := jobs.Restore(data)
	if err != nil {
		return err
	}
	m.store = store
	return nil
}

// tick advances timers. It is called at each tickInterval.
func (m *manager) tick() {
	m.replica.Tick()
	m.runDue()
	m.publishMembership()
	m.updateFleetSize()
}

// publishMembership publishes the membership for the metrics.
func (m *manager) publishMembership() {
	if now := m.now(); now >= m.nextPublishAt {
		m.nextPublishAt = now + publishInterval
		status := m.replica.Membership()
		m.metrics.membership.Store(&status)
		m.publishEvacuations()
	}
}

// runDue follows leadership changes and does all periodic and pending work.
func (m *manager) runDue() {
	m.updateLeadership()
	if m.dispatcher == nil {
		return
	}
	m.maintain()
	m.sender.Tick()
	if m.replica.Leads() {
		m.dispatcher.Advance(m.now(), time.Now().UnixMilli())
		m.dispatcher.Tick()
	}
	m.flushDispatcher()
	m.reportStatus()
}

// handleEvent does the work that follows from an event. Periodic work is left to the
// next tick, since it examines every worker.
func (m *manager) handleEvent() {
	m.updateLeadership()
	if m.dispatcher == nil {
		return
	}
	if m.replica.Leads() {
		m.dispatcher.Plan()
	}
	m.flushDispatcher()
}

// updateLeadership starts and stops the dispatcher when leadership changes.
func (m *manager) updateLeadership() {
	term, leading := m.replica.Leading()
	if m.dispatcher != nil && (!leading || term != m.term) {
		m.dispatcher = nil
		m.heldOrders = nil
		m.sender.Close()
		m.sender = nil
		m.cancelOrders()
		m.proposals.fail()
		m.proposals = nil
		m.metrics.shares.Store(nil)
		m.metrics.pending.Store(nil)
		m.log.Info().Uint64("term", m.term).Msg("dispatch stopped")
	}
	if m.dispatcher == nil && leading {
		m.term, m.leadingSince, m.nextMaintainAt = term, m.now(), 0
		m.orderCtx, m.cancelOrders = context.WithCancel(context.Background())
		options := dispatch.Options{
			WorkerLease: m.settings.lease(), HeartbeatInterval: m.settings.heartbeat(), CapacityGrace: m.settings.capacityGrace(),
			PreviousLeaderLease: replicate.LeaseTerm(), FairShares: m.settings.FairShares.options(), WarmUp: m.settings.EvacuationApplyMS > 0,
			RemoteSlowdown: m.settings.RemoteSlowdown, Admission: m.settings.Admission.enabled(),
		}
		m.dispatcher = dispatch.New(options, m.store, int64(term), m.now(), time.Now().UnixMilli()) //nolint:gosec // terms stay far below the limit
		m.sender = m.newSender()
		m.proposals = m.newProposalQueue()
		m.unsettled = unsettledSubmissions{}
		m.status.nextAt = m.now() + statusInterval
		m.log.Info().Uint64("term", term).Msg("dispatch started")
	}
}

// flushDispatcher proposes the commands, sends the orders and logs the events that the
// dispatcher has produced.
func (m *manager) flushDispatcher() {
	commands, orders, logEvents := m.dispatcher.TakeOutput()
	m.proposals.add(commands...)
	for _, o := range orders {
		m.metrics.recordOrder(&o)
		m.heldOrders = append(m.heldOrders, heldOrder{o, m.now()})
	}
	for i := range logEvents {
		m.logEvent(&logEvents[i])
	}
	if m.replica.Leads() {
		held := m.heldOrders
		m.heldOrders = nil
		for _, h := range held {
			m.send(h)
		}
	}
	m.proposals.flush()
}

// logEvent logs an event. Repairs and failed checks are rare, so their lines are not limited.
// Tasks that are bound again and again have a limit of their own.
func (m *manager) logEvent(event *dispatch.LogEvent) {
	e := m.log.Info()
	if event.Repair {
		m.metrics.recordRepair(event.Event)
		e = m.log.Warn()
	} else if !event.Trace && !m.limiter(event).allow(m.now(), &m.log) {
		return
	}
	if event.Worker != "" {
		e = e.Str("worker", event.Worker).Int64("report_age_ms", event.ReportAge.Milliseconds())
	}
	if event.Task.Job != "" {
		e = e.Str("job", event.Task.Job).Int("occurrence", event.Task.Occurrence).Int("step", event.Task.Step).
			Int("task", event.Task.Index).Int("attempt", event.Attempt)
	}
	if event.Detail != "" {
		e = e.Str("detail", event.Detail)
	}
	e.Msg(event.Event)
}

// limiter returns the limiter of the lines about an attempt.
func (m *manager) limiter(event *dispatch.LogEvent) *logLimiter {
	if event.Attempt >= repeatedAttempt {
		return &m.repeatLogs
	}
	return &m.taskLogs
}

// send sends an order to its worker without blocking the control thread. In a large
// fleet another replica sends it. An order that has expired is held for the next lease.
func (m *manager) send(h heldOrder) {
	d, ctx, o := m.dispatcher, m.orderCtx, h.order
	if awaitsCarriers(m.settings.MinWorkersForCarriers > 0 && m.largeFleet.Load(), m.sender.Available(), m.now()-m.leadingSince) {
		m.heldOrders = append(m.heldOrders, h)
		return
	}
	if minWorkers := m.settings.MinWorkersForCarriers; minWorkers > 0 && d.WorkerCount() >= minWorkers && m.sender.Send(o, o.To.Domain) {
		return
	}
	sentAt, leaseEnd := m.now(), m.replica.LeaseEnd()
	go func() {
		reply := m.sendDirectly(ctx, o, leaseEnd)
		reply.SentAt, reply.ReceivedAt = sentAt, m.now()
		m.post(func() {
			if m.dispatcher != d {
				return
			}
			if reply.Status == dispatch.Expired && m.now()-h.decidedAt < maxOrderDelay {
				m.heldOrders = append(m.heldOrders, h)
				return
			}
			m.handleReply(reply)
			m.handleEvent()
		})
	}()
}

// sendDirectly calls the worker of an order, unless the leader's lease has ended since
// the order was decided, for example because the process was paused.
func (m *manager) sendDirectly(ctx context.Context, o dispatch.Order, leaseEnd time.Duration) dispatch.Reply {
	if bootClock() >= leaseEnd {
		return dispatch.Reply{Order: o, Status: dispatch.Expired, Reason: "the leader's lease has ended"}
	}
	return m.workers.Do(ctx, o)
}

func (m *manager) handleReply(r dispatch.Reply) {
	m.dispatcher.Advance(m.now(), time.Now().UnixMilli())
	m.dispatcher.HandleReply(r)
}

// newSender returns the sender for the current term.
func (m *manager) newSender() *delivery.Sender {
	d := m.dispatcher
	return delivery.NewSender(delivery.SenderOptions{
		Term: m.term, Address: m.settings.PeerListen, Client: m.client, Post: m.post, Now: m.now, Boot: bootClock, LeaseEnd: m.replica.LeaseEnd, Log: m.log,
		OnReply: func(r dispatch.Reply) {
			if m.dispatcher == d {
				m.handleReply(r)
			}
		},
	})
}

// carriers returns the replicas that have recently responded to this leader.
func (m *manager) carriers() []delivery.Carrier {
	status := m.replica.Status()
	var list []delivery.Carrier
	for _, p := range status.Peers {
		if member, known := status.Membership.Find(p.ID); known && p.Active {
			list = append(list, delivery.Carrier{Address: member.Address, Domain: member.Domain})
		}
	}
	return list
}

// newProposalQueue returns the queue of commands for the current term.
func (m *manager) newProposalQueue() *proposalQueue {
	d := m.dispatcher
	return &proposalQueue{
		replicated: m.replica, now: m.now, log: m.log,
		interval: func() time.Duration {
			return proposalIntervalPerReplica * time.Duration(len(m.replica.Status().Membership.Members))
		},
		afterFunc: func(wait time.Duration, f func()) { time.AfterFunc(wait, func() { m.post(f) }) },
		beforeResults: func() {
			if m.dispatcher == d {
				d.Advance(m.now(), time.Now().UnixMilli())
			}
		},
		afterResults: func() {
			if m.dispatcher == d {
				m.post(m.handleEvent)
			}
		},
	}
}

// propose queues a command for the log. onResult is called with the result once the
// command is applied, or with false if it may not have been.
func (m *manager) propose(c jobs.Command, onResult func(jobs.Result, bool)) {
	if m.proposals == nil {
		onResult(jobs.Result{}, false)
		return
	}
	m.proposals.add(dispatch.Proposal{Command: c, OnResult: onResult})
	m.proposals.flush()
}

// maintain does the periodic work of the leader other than dispatching: it updates the
// membership and the carriers and prunes ended jobs.
func (m *manager) maintain() {
	now := m.now()
	if now >= m.nextMembershipAt {
		m.nextMembershipAt = now + membershipInterval
		m.replica.Maintain()
	}
	if now >= m.nextMaintainAt {
		m.nextMaintainAt = now + maintainInterval
		m.sender.SetFixedShares(m.largeFleet.Load())
		m.sender.SetCarriers(m.carriers())
	}
	if now >= m.nextPruneAt {
		m.nextPruneAt = now + pruneInterval
		m.prune(time.Now().UnixMilli())
	}
}

func (m *manager) prune(nowMS int64) {
	var ids []string
	for _, j := range m.store.Jobs() {
		if j.State.Ended() && nowMS-j.EndedAt > endedJobRetention.Milliseconds() && len(ids) < maxBatchCommands {
			ids = append(ids, j.ID)
		}
	}
	if len(ids) > 0 {
		m.propose(jobs.Command{Prune: &jobs.Prune{IDs: ids}}, func(jobs.Result, bool) {})
	}
}
