package jobd

import (
	"time"

	"github.com/rs/zerolog"

	"geraniumwall/jobs/dispatch"
)

// statusInterval is the time between two status lines of the leader.
const statusInterval = time.Second

// statusReport measures the control thread between two status lines.
type statusReport struct {
	nextAt time.Duration
	// lag is the longest time that a tick waited for the control thread, busy the time that
	// the thread has worked, longest that of one event.
	lag, busy, longest time.Duration
	events             int
}

func (s *statusReport) recordTick(lag time.Duration) { s.lag = max(s.lag, lag) }

func (s *statusReport) recordWork(took time.Duration) {
	s.busy += took
	s.longest = max(s.longest, took)
	s.events++
}

// reportStatus logs the state of the leader once per statusInterval.
func (m *manager) reportStatus() {
	if m.now() < m.status.nextAt {
		return
	}
	s := m.dispatcher.TakeStatus()
	m.reportEvacuations(&s)
	measured := m.status
	m.status = statusReport{nextAt: m.now() + statusInterval}
	e := m.log.Info().Uint64("term", m.term).Bool("leads", m.replica.Leads()).
		Int64("lag_ms", measured.lag.Milliseconds()).Int64("busy_ms", measured.busy.Milliseconds()).
		Int64("longest_ms", measured.longest.Milliseconds()).Int("events", measured.events).Int("plans", s.Plans).Int("examined", s.Examined).
		Int("proposals_queued", len(m.proposals.queued)).Int("proposals_in_flight", m.proposals.inFlight).
		Int("pending", m.countPending()).Int("orders_held", len(m.heldOrders)).Int64("free_millicpu", s.FreeMilliCPU).
		Dict("carriers", carrierFields(m)).Dict("workers", workerFields(&s.Workers)).Dict("attempts", attemptFields(&s.Attempts)).
		Dict("holds", zerolog.Dict().Int("in_flight", s.Holds.InFlight).Int("answered", s.Holds.Answered).
			Int("expired", s.Holds.Expired).Int("failed", s.Holds.Failed)).
		Dict("commit", delayFields(&s.Commit)).Dict("start_reply", delayFields(&s.StartReply)).
		Dict("preemptions", preemptionFields(&s.Preemptions)).
		Dict("evacuations", zerolog.Dict().Int("domains", s.EvacuatedDomains).Int("workers", s.Workers.Evacuated).
			Int("cancelled_starts", s.EvacuatedStarts))
	if m.settings.RemoteSlowdown > 1 {
		e.Dict("place_waits", placeFields(&s.PlaceWaits))
		m.metrics.places.record(&s.PlaceWaits)
	}
	if len(s.Shares) > 0 {
		e = e.Array("shares", shareArray(s.Shares))
	}
	m.metrics.shares.Store(&s.Shares)
	e.Array("queues", queueArray(s.Queues)).Msg("dispatch status")
}

// countPending publishes the pending jobs of each queue for the metrics and returns their
// number.
func (m *manager) countPending() int {
	pending := m.store.PendingByQueue()
	m.metrics.pending.Store(&pending)
	total := 0
	for _, count := range pending {
		total += count
	}
	return total
}

func carrierFields(m *manager) *zerolog.Event {
	queued, delivered := m.sender.Pending()
	return zerolog.Dict().Int("available", m.sender.Available()).Int("queued", queued).Int("delivered", delivered).Int("largest_share", m.sender.LargestShare())
}

func workerFields(c *dispatch.WorkerCounts) *zerolog.Event {
	return zerolog.Dict().Int("known", c.Known).Int("usable", c.Usable).Int("leaving", c.Leaving).
		Int("unconfirmed", c.Unconfirmed).Int("evacuated", c.Evacuated).Int("unresponsive", c.Unresponsive).Int("silent", c.Silent).Int("quarantined", c.Quarantined).Int("unreadable_ends", c.UnreadableEnds)
}

func attemptFields(c *dispatch.AttemptCounts) *zerolog.Event {
	return zerolog.Dict().Int("orphaned", c.Orphaned).Int("inherited", c.Inherited).Int("proposed", c.Proposed).
		Int("ordered", c.Ordered).Int("started", c.Started).Int("uncertain", c.Uncertain).Int("void", c.Void)
}

func preemptionFields(c *dispatch.PreemptionCounts) *zerolog.Event {
	return zerolog.Dict().Int("preempted", c.Preempted).Int("claimed", c.Claimed).Int("used", c.Used).Int("expired", c.Expired)
}

func delayFields(s *dispatch.DelayStats) *zerolog.Event {
	return zerolog.Dict().Int("count", s.Count).Int64("mean_ms", s.Mean().Milliseconds()).Int64("max_ms", s.Max.Milliseconds())
}

func queueArray(queues []dispatch.QueueStatus) *zerolog.Array {
	list := zerolog.Arr()
	for i := range queues {
		q := &queues[i]
		list.Dict(zerolog.Dict().Int("priority", q.Priority).Bool("long_running", q.LongRunning).Int("jobs", q.Jobs).
			Int("late", q.Late).Int("expired", q.Expired).Int("tasks", q.Tasks).Str("blocked", q.Blocked).Dict("first_binding", delayFields(&q.FirstBinding)))
	}
	return list
}

func shareArray(queues []dispatch.QueueShare) *zerolog.Array {
	list := zerolog.Arr()
	for i := range queues {
		q := &queues[i]
		list.Dict(zerolog.Dict().Str("queue", q.Queue).Float64("share", q.Share).Float64("used", q.Used))
	}
	return list
}
