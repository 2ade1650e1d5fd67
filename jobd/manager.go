package jobd

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"geraniumwall/delivery"
	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch"
	"geraniumwall/replicate"
)

const (
	// maxProposalsInFlight limits the log entries that wait to be committed. Commands
	// that arrive meanwhile share the next entry.
	maxProposalsInFlight = 2
	// proposalIntervalPerReplica times the number of replicas is the minimum interval
	// between two entries. It limits the messages that a loaded leader sends.
	proposalIntervalPerReplica = 2500 * time.Microsecond
	// maxBatchCommands limits the commands in one entry.
	maxBatchCommands = 512
	// endedJobRetention is how long ended jobs are kept.
	endedJobRetention = 150 * time.Second
	pruneInterval     = time.Second
	// maintainInterval is the interval between updates of the membership and the carriers.
	maintainInterval = 200 * time.Millisecond
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
	workers    WorkerClient
	post       func(func())
	now        func() time.Duration
	metrics    *Metrics
	taskLogs   logLimiter

	queued         []dispatch.Proposal
	inFlight       int
	nextProposalAt time.Duration
	flushScheduled bool
	nextMaintainAt time.Duration
	nextPruneAt    time.Duration
	grantedIDs     map[string]uint64
	// heldOrders are orders that wait until the leader's lease is confirmed. Without the
	// lease another leader may already be active.
	heldOrders []dispatch.Order
	// sender distributes orders over the other replicas while this one leads.
	sender *delivery.Sender
	client *http.Client
	// orderCtx is cancelled when this replica loses leadership.
	orderCtx     context.Context
	cancelOrders context.CancelFunc
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
	case c.End != nil && m.dispatcher != nil:
		if j := m.store.Job(c.End.Task.Job); j != nil {
			m.logEnd(j, c.End)
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
		m.inFlight = 0
		m.heldOrders = nil
		m.sender = nil
		m.cancelOrders()
		m.failQueued()
		m.log.Info().Uint64("term", m.term).Msg("dispatch stopped")
	}
	if m.dispatcher == nil && leading {
		m.term = term
		m.orderCtx, m.cancelOrders = context.WithCancel(context.Background())
		options := dispatch.Options{
			WorkerLease: m.settings.lease(), HeartbeatInterval: m.settings.heartbeat(), PreviousLeaderLease: replicate.LeaseTerm(),
		}
		m.dispatcher = dispatch.New(options, m.store, int64(term), m.now(), time.Now().UnixMilli()) //nolint:gosec // terms stay far below the limit
		m.sender = m.newSender()
		m.log.Info().Uint64("term", term).Msg("dispatch started")
	}
}

// failQueued completes the queued proposals as failed after the loss of leadership.
func (m *manager) failQueued() {
	queued := m.queued
	m.queued = nil
	for i := range queued {
		queued[i].OnResult(jobs.Result{}, false)
	}
}

// flushDispatcher proposes the commands, sends the orders and logs the events that the
// dispatcher has produced.
func (m *manager) flushDispatcher() {
	commands, orders, logEvents := m.dispatcher.TakeOutput()
	m.queued = append(m.queued, commands...)
	m.heldOrders = append(m.heldOrders, orders...)
	for i := range logEvents {
		m.logEvent(&logEvents[i])
	}
	if m.replica.Leads() {
		for _, o := range m.heldOrders {
			m.send(o)
		}
		m.heldOrders = nil
	}
	m.flush()
}

// logEvent logs an event. Repairs are rare, so their lines are not limited.
func (m *manager) logEvent(event *dispatch.LogEvent) {
	e := m.log.Info()
	if event.Repair {
		m.metrics.recordRepair(event.Event)
		e = m.log.Warn()
	} else if !m.taskLogs.allow(m.now(), &m.log) {
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

// send sends an order to its worker without blocking the control thread. In a large
// fleet another replica sends it.
func (m *manager) send(o dispatch.Order) {
	d, ctx := m.dispatcher, m.orderCtx
	m.metrics.recordOrder(&o)
	if minWorkers := m.settings.MinWorkersForCarriers; minWorkers > 0 && d.WorkerCount() >= minWorkers && m.sender.Send(o, o.To.Domain) {
		return
	}
	sentAt, leaseEnd := m.now(), m.replica.LeaseEnd()
	go func() {
		reply := m.sendDirectly(ctx, o, leaseEnd)
		reply.SentAt, reply.ReceivedAt = sentAt, m.now()
		m.post(func() {
			if m.dispatcher == d {
				m.handleReply(reply)
				m.handleEvent()
			}
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

// propose queues a command for the log. onResult is called with the result once the
// command is applied, or with false if it may not have been.
func (m *manager) propose(c jobs.Command, onResult func(jobs.Result, bool)) {
	m.queued = append(m.queued, dispatch.Proposal{Command: c, OnResult: onResult})
	m.flush()
}

// flush proposes the queued commands in batches, unless enough entries are in flight.
// This group commit keeps the number of disk syncs low.
func (m *manager) flush() {
	if len(m.queued) == 0 {
		return
	}
	if wait := m.nextProposalAt - m.now(); wait > 0 {
		m.flushLater(wait)
		return
	}
	for len(m.queued) > 0 && m.inFlight < maxProposalsInFlight && m.now() >= m.nextProposalAt {
		m.nextProposalAt = m.now() + proposalIntervalPerReplica*time.Duration(len(m.replica.Status().Membership.Members))
		n := min(len(m.queued), maxBatchCommands)
		batch := m.queued[:n:n]
		m.queued = m.queued[n:]
		m.proposeBatch(batch)
	}
}

func (m *manager) flushLater(wait time.Duration) {
	if m.flushScheduled {
		return
	}
	m.flushScheduled = true
	time.AfterFunc(wait, func() {
		m.post(func() {
			m.flushScheduled = false
			m.flush()
		})
	})
}

func (m *manager) proposeBatch(batch []dispatch.Proposal) {
	commands := make([]jobs.Command, len(batch))
	for i := range batch {
		commands[i] = batch[i].Command
	}
	d := m.dispatcher
	data, err := jobs.Encode(commands)
	if err == nil {
		m.inFlight++
		err = m.replica.Propose(data, func(result any, err error) { m.batchSettled(d, batch, result, err) })
		if err != nil {
			m.inFlight--
		}
	}
	if err != nil {
		m.log.Warn().Err(err).Int("commands", len(batch)).Msg("commands could not be proposed")
		for i := range batch {
			batch[i].OnResult(jobs.Result{}, false)
		}
	}
}

func (m *manager) batchSettled(d *dispatch.Dispatcher, batch []dispatch.Proposal, result any, err error) {
	if m.dispatcher == d && d != nil {
		m.inFlight--
		d.Advance(m.now(), time.Now().UnixMilli())
	}
	results, _ := result.([]jobs.Result)
	for i := range batch {
		if err != nil {
			batch[i].OnResult(jobs.Result{}, false)
		} else {
			batch[i].OnResult(results[i], true)
		}
	}
	if m.dispatcher == d && d != nil {
		m.post(m.handleEvent)
	}
}

// maintain does the periodic work of the leader other than dispatching: it updates the
// membership and the carriers and prunes ended jobs.
func (m *manager) maintain() {
	now := m.now()
	if now >= m.nextMaintainAt {
		m.nextMaintainAt = now + maintainInterval
		m.replica.Maintain()
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
