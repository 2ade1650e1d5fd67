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
	// proposalsInFlight bounds the entries that wait for the log; what comes up
	// meanwhile shares the next one.
	proposalsInFlight = 2
	// proposalPause is the time between two entries for each replica that they are
	// sent to. It bounds the messages of a leader under load.
	proposalPause = 2500 * time.Microsecond
	// batchCommands bounds the commands in one entry.
	batchCommands = 512
	// retention is how long ended jobs are kept.
	retention = 150 * time.Second
	pruneEach = time.Second
	// maintainEach is the interval of changes of the membership.
	maintainEach = 200 * time.Millisecond
)

// manager is the control state of a replica. Only the control thread touches it.
type manager struct {
	settings *Settings
	log      zerolog.Logger
	replica  *replicate.Replica
	store    *jobs.Store
	// dispatcher is set while this replica leads.
	dispatcher *dispatch.Dispatcher
	term       uint64
	workers    Workers
	post       func(func())
	now        func() time.Duration
	metrics    *Metrics
	lines      lineLimit

	queued     []dispatch.Proposal
	inFlight   int
	proposeAt  time.Duration
	flushing   bool
	maintainAt time.Duration
	pruneAt    time.Duration
	joins      map[string]uint64
	// held are orders that wait for the leader's lease: without it another leader may
	// act already.
	held []dispatch.Order
	// sender spreads orders over the other replicas while this one leads.
	sender *delivery.Sender
	client *http.Client
	// orders is cancelled when the leadership ends.
	orders       context.Context
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

// logApplied records what a committed command has changed for callers and
// operators.
func (m *manager) logApplied(c *jobs.Command, r jobs.Result) {
	if !r.Applied {
		return
	}
	switch {
	case c.Configure != nil:
		m.log.Info().Int64("version", c.Configure.Config.Version).Int("queues", len(c.Configure.Config.Queues)).
			Msg("configuration in force")
	case c.End != nil && m.dispatcher != nil:
		if j := m.store.Job(c.End.Task.Job); j != nil && j.State.Ended() && j.EndedAt == c.End.At {
			m.log.Info().Str("job", j.ID).Str("state", string(j.State)).Int64("took_ms", j.EndedAt-j.AcceptedAt).Msg("job ended")
			m.metrics.jobEnded(j)
		}
	}
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

// tick lets the time pass.
func (m *manager) tick() {
	m.replica.Tick()
	m.step()
}

// step follows the leadership and does the work that came up.
func (m *manager) step() {
	m.followLeadership()
	if m.dispatcher == nil {
		return
	}
	m.maintain()
	m.sender.Tick()
	if m.replica.Leads() {
		m.dispatcher.Advance(m.now(), time.Now().UnixMilli())
		m.dispatcher.Tick()
	}
	m.carryOut()
}

// react does the work that an event has brought up. What is due by time waits for
// the next tick, since it takes a look at every worker.
func (m *manager) react() {
	m.followLeadership()
	if m.dispatcher == nil {
		return
	}
	if m.replica.Leads() {
		m.dispatcher.Plan()
	}
	m.carryOut()
}

// followLeadership starts and ends the dispatch.
func (m *manager) followLeadership() {
	term, leading := m.replica.Leading()
	if m.dispatcher != nil && (!leading || term != m.term) {
		m.dispatcher = nil
		m.inFlight = 0
		m.held = nil
		m.sender = nil
		m.cancelOrders()
		m.abandon()
		m.log.Info().Uint64("term", m.term).Msg("dispatch ended")
	}
	if m.dispatcher == nil && leading {
		m.term = term
		m.orders, m.cancelOrders = context.WithCancel(context.Background())
		options := dispatch.Options{
			Lease: m.settings.lease(), Beat: m.settings.heartbeat(), Authority: replicate.LeaseTerm(),
		}
		m.dispatcher = dispatch.New(options, m.store, int64(term), m.now()) //nolint:gosec // terms stay far below the limit
		m.sender = m.newSender()
		m.log.Info().Uint64("term", term).Msg("dispatch began")
	}
}

// abandon answers what was queued for the log when the leadership ended.
func (m *manager) abandon() {
	queued := m.queued
	m.queued = nil
	for i := range queued {
		queued[i].Settled(jobs.Result{}, false)
	}
}

// carryOut proposes the commands and sends the orders of the dispatcher.
func (m *manager) carryOut() {
	commands, orders, notes := m.dispatcher.Take()
	m.queued = append(m.queued, commands...)
	m.held = append(m.held, orders...)
	for i := range notes {
		m.logNote(&notes[i])
	}
	if m.replica.Leads() {
		for _, o := range m.held {
			m.send(o)
		}
		m.held = nil
	}
	m.flush()
}

func (m *manager) logNote(n *dispatch.Note) {
	if !m.lines.allow(m.now(), &m.log) {
		return
	}
	e := m.log.Info()
	if n.Worker != "" {
		e = e.Str("worker", n.Worker).Int64("report_age_ms", n.ReportAge.Milliseconds())
	}
	if n.Task.Job != "" {
		e = e.Str("job", n.Task.Job).Int("occurrence", n.Task.Occurrence).Int("step", n.Task.Step).
			Int("task", n.Task.Index).Int("attempt", n.Attempt)
	}
	if n.Detail != "" {
		e = e.Str("detail", n.Detail)
	}
	e.Msg(n.Event)
}

// send carries out an order outside of the control thread, in a large fleet by
// another replica.
func (m *manager) send(o dispatch.Order) {
	d, ctx := m.dispatcher, m.orders
	m.metrics.order(&o)
	if from := m.settings.CarryFromWorkers; from > 0 && d.Workers() >= from && m.sender.Send(o, o.To.Domain) {
		return
	}
	sentAt := m.now()
	go func() {
		reply := m.workers.Do(ctx, o)
		reply.SentAt, reply.ReceivedAt = sentAt, m.now()
		m.post(func() {
			if m.dispatcher == d {
				m.answered(reply)
				m.react()
			}
		})
	}()
}

func (m *manager) answered(r dispatch.Reply) {
	m.dispatcher.Advance(m.now(), time.Now().UnixMilli())
	m.dispatcher.Answered(r)
}

// newSender returns the sender of a leadership that begins.
func (m *manager) newSender() *delivery.Sender {
	d := m.dispatcher
	return delivery.NewSender(delivery.SenderOptions{
		Term: m.term, Address: m.settings.PeerListen, Client: m.client, Post: m.post, Now: m.now, Log: m.log,
		OnReply: func(r dispatch.Reply) {
			if m.dispatcher == d {
				m.answered(r)
			}
		},
	})
}

// carriers lists the replicas that have answered this leader lately.
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

// propose queues a command for the log.
func (m *manager) propose(c jobs.Command, settled func(jobs.Result, bool)) {
	m.queued = append(m.queued, dispatch.Proposal{Command: c, Settled: settled})
	m.flush()
}

// flush proposes what is queued as one entry, unless enough entries are on their
// way: group commit keeps the disk's syncs few.
func (m *manager) flush() {
	if len(m.queued) == 0 {
		return
	}
	if wait := m.proposeAt - m.now(); wait > 0 {
		m.flushLater(wait)
		return
	}
	for len(m.queued) > 0 && m.inFlight < proposalsInFlight && m.now() >= m.proposeAt {
		m.proposeAt = m.now() + proposalPause*time.Duration(len(m.replica.Status().Membership.Members))
		n := min(len(m.queued), batchCommands)
		batch := m.queued[:n:n]
		m.queued = m.queued[n:]
		m.proposeBatch(batch)
	}
}

func (m *manager) flushLater(wait time.Duration) {
	if m.flushing {
		return
	}
	m.flushing = true
	time.AfterFunc(wait, func() {
		m.post(func() {
			m.flushing = false
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
		err = m.replica.Propose(data, func(result any, err error) { m.settle(d, batch, result, err) })
		if err != nil {
			m.inFlight--
		}
	}
	if err != nil {
		m.log.Warn().Err(err).Int("commands", len(batch)).Msg("commands are not proposed")
		for i := range batch {
			batch[i].Settled(jobs.Result{}, false)
		}
	}
}

func (m *manager) settle(d *dispatch.Dispatcher, batch []dispatch.Proposal, result any, err error) {
	if m.dispatcher == d && d != nil {
		m.inFlight--
		d.Advance(m.now(), time.Now().UnixMilli())
	}
	results, _ := result.([]jobs.Result)
	for i := range batch {
		if err != nil {
			batch[i].Settled(jobs.Result{}, false)
		} else {
			batch[i].Settled(results[i], true)
		}
	}
	if m.dispatcher == d && d != nil {
		m.post(m.react)
	}
}

// maintain does the duties of the leader besides the dispatch.
func (m *manager) maintain() {
	now := m.now()
	if now >= m.maintainAt {
		m.maintainAt = now + maintainEach
		m.replica.Maintain()
		m.sender.SetCarriers(m.carriers())
	}
	if now >= m.pruneAt {
		m.pruneAt = now + pruneEach
		m.prune(time.Now().UnixMilli())
	}
}

func (m *manager) prune(unix int64) {
	var ids []string
	for _, j := range m.store.Jobs() {
		if j.State.Ended() && unix-j.EndedAt > retention.Milliseconds() && len(ids) < batchCommands {
			ids = append(ids, j.ID)
		}
	}
	if len(ids) > 0 {
		m.propose(jobs.Command{Prune: &jobs.Prune{IDs: ids}}, func(jobs.Result, bool) {})
	}
}
