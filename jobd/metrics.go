package jobd

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch"
	"geraniumwall/raft"
	"geraniumwall/replicate"
)

// Metrics are the instruments of a job replica.
type Metrics struct {
	orders   metric.Int64Counter
	ended    metric.Int64Counter
	repairs  metric.Int64Counter
	crashes  metric.Int64Counter
	duration metric.Float64Histogram
	changes  metric.Int64Counter
	// evacuatedStarts counts starts that were cancelled because of an evacuation.
	evacuatedStarts metric.Int64Counter
	// evacuation is the latest state of the evacuations, nil if the deployment does not use them.
	evacuation atomic.Pointer[evacuationCounts]
	places     placeMetrics
	// batched counts the heartbeats that this replica has passed on to the leader in batches,
	// batches these by outcome.
	batched, batches metric.Int64Counter
	// membership is the latest state of the members. The control thread stores it and the
	// callback of the gauges reads it.
	membership atomic.Pointer[replicate.MembershipStatus]
	refused    metric.Int64Counter
	// shares are the shares of the queues in a recent plan of this leader, nil on others.
	shares atomic.Pointer[[]dispatch.QueueShare]
	// pending are the pending jobs of the queues that have some by a recent count of this
	// leader, nil on others.
	pending atomic.Pointer[map[string]int]
}

// NewMetrics creates the instruments.
func NewMetrics(meter metric.Meter) (*Metrics, error) {
	orders, err := meter.Int64Counter("geranium.jobs.orders", metric.WithUnit("{order}"),
		metric.WithDescription("Orders to workers by kind."))
	if err != nil {
		return nil, fmt.Errorf("create the order counter: %w", err)
	}
	ended, err := meter.Int64Counter("geranium.jobs.ended", metric.WithUnit("{job}"),
		metric.WithDescription("Jobs that have ended, by queue and state."))
	if err != nil {
		return nil, fmt.Errorf("create the job counter: %w", err)
	}
	repairs, err := meter.Int64Counter("geranium.jobs.repairs", metric.WithUnit("{repair}"),
		metric.WithDescription("Differences between the log and the dispatcher that an audit has repaired, by event."))
	if err != nil {
		return nil, fmt.Errorf("create the repair counter: %w", err)
	}
	crashes, err := meter.Int64Counter("geranium.jobs.crashes", metric.WithUnit("{attempt}"),
		metric.WithDescription("Attempts that ended with the crash of their worker, by queue."))
	if err != nil {
		return nil, fmt.Errorf("create the crash counter: %w", err)
	}
	took, err := meter.Float64Histogram("geranium.jobs.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from the acceptance of a job to its end."))
	if err != nil {
		return nil, fmt.Errorf("create the job duration histogram: %w", err)
	}
	changes, err := meter.Int64Counter("geranium.replica.membership.changes", metric.WithUnit("{change}"),
		metric.WithDescription("Changes of the membership that this replica has tried as the leader, by kind and outcome: proposed or refused."))
	if err != nil {
		return nil, fmt.Errorf("create the counter of membership changes: %w", err)
	}
	places, err := newPlaceMetrics(meter)
	if err != nil {
		return nil, err
	}
	batched, err1 := meter.Int64Counter("geranium.jobs.heartbeats.batched", metric.WithUnit("{heartbeat}"),
		metric.WithDescription("Heartbeats that this follower has passed on to the leader in batches."))
	batches, err2 := meter.Int64Counter("geranium.jobs.heartbeats.batches", metric.WithUnit("{batch}"),
		metric.WithDescription("Batches of heartbeats that this follower has sent to the leader, by outcome: answered or failed."))
	if err := errors.Join(err1, err2); err != nil {
		return nil, fmt.Errorf("create the counters of batched heartbeats: %w", err)
	}
	refused, err := meter.Int64Counter("geranium.jobs.refused", metric.WithUnit("{job}"),
		metric.WithDescription("Submissions refused since the job could not end before its result is worthless, by queue."))
	if err != nil {
		return nil, fmt.Errorf("create the refusal counter: %w", err)
	}
	m := &Metrics{
		places: places, batched: batched, batches: batches, refused: refused, orders: orders, ended: ended, repairs: repairs, crashes: crashes, duration: took, changes: changes,
	}
	return m, errors.Join(m.observeMembership(meter), m.observeEvacuations(meter), m.observeShares(meter), m.observePending(meter))
}

// evacuationCounts are the numbers of evacuated failure domains and of the registered workers
// in them.
type evacuationCounts struct{ domains, workers int }

// observeEvacuations registers the instruments of the evacuations.
func (m *Metrics) observeEvacuations(meter metric.Meter) error {
	var err1 error
	m.evacuatedStarts, err1 = meter.Int64Counter("geranium.jobs.evacuation.cancelled_starts", metric.WithUnit("{start}"),
		metric.WithDescription("Starts that the leader has cancelled since their failure domain was evacuated after they were planned."))
	domains, err2 := meter.Int64ObservableGauge("geranium.jobs.evacuation.domains", metric.WithUnit("{domain}"),
		metric.WithDescription("Evacuated failure domains by the log."))
	workers, err3 := meter.Int64ObservableGauge("geranium.jobs.evacuation.workers", metric.WithUnit("{worker}"),
		metric.WithDescription("Registered workers in evacuated failure domains by the log."))
	_, err4 := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		if counts := m.evacuation.Load(); counts != nil {
			o.ObserveInt64(domains, int64(counts.domains))
			o.ObserveInt64(workers, int64(counts.workers))
		}
		return nil
	}, domains, workers)
	if err := errors.Join(err1, err2, err3, err4); err != nil {
		return fmt.Errorf("create the instruments of the evacuations: %w", err)
	}
	return nil
}

// observeMembership registers the gauges of the members.
func (m *Metrics) observeMembership(meter metric.Meter) error {
	members, err1 := meter.Int64ObservableGauge("geranium.replica.members", metric.WithUnit("{replica}"),
		metric.WithDescription("Members of the log as this replica knows it, by role: voter or learner."))
	target, err2 := meter.Int64ObservableGauge("geranium.replica.voters.target", metric.WithUnit("{replica}"),
		metric.WithDescription("Wanted number of voters."))
	silence, err3 := meter.Float64ObservableGauge("geranium.replica.silence", metric.WithUnit("s"),
		metric.WithDescription("Time since another member last answered, by replica and address; on the leader only."))
	_, err4 := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		status := m.membership.Load()
		if status == nil {
			return nil
		}
		voters := 0
		for i := range status.Members {
			member := &status.Members[i]
			if !member.Learner {
				voters++
			}
			if status.Measured && !member.Self {
				o.ObserveFloat64(silence, member.Silence.Seconds(), metric.WithAttributes(
					attribute.String("replica", strconv.FormatUint(member.ID, 10)), attribute.String("address", member.Address)))
			}
		}
		o.ObserveInt64(members, int64(voters), metric.WithAttributes(attribute.String("role", "voter")))
		o.ObserveInt64(members, int64(len(status.Members)-voters), metric.WithAttributes(attribute.String("role", "learner")))
		o.ObserveInt64(target, int64(status.TargetVoters))
		return nil
	}, members, target, silence)
	if err := errors.Join(err1, err2, err3, err4); err != nil {
		return fmt.Errorf("create the gauges of the membership: %w", err)
	}
	return nil
}

// observeShares registers the gauges of the shares of queues.
func (m *Metrics) observeShares(meter metric.Meter) error {
	share, err1 := meter.Float64ObservableGauge("geranium.jobs.queue.share", metric.WithUnit("1"),
		metric.WithDescription("Part of the usable capacity to which a queue with work is entitled, by queue; on the leader only."))
	used, err2 := meter.Float64ObservableGauge("geranium.jobs.queue.used", metric.WithUnit("1"),
		metric.WithDescription("Part of the usable capacity that a queue holds of its dominant resource, by queue; on the leader only."))
	_, err3 := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		queues := m.shares.Load()
		if queues == nil {
			return nil
		}
		for i := range *queues {
			q := &(*queues)[i]
			o.ObserveFloat64(share, q.Share, metric.WithAttributes(attribute.String("queue", q.Queue)))
			o.ObserveFloat64(used, q.Used, metric.WithAttributes(attribute.String("queue", q.Queue)))
		}
		return nil
	}, share, used)
	if err := errors.Join(err1, err2, err3); err != nil {
		return fmt.Errorf("create the gauges of the shares: %w", err)
	}
	return nil
}

// observePending registers the gauge of the pending jobs.
func (m *Metrics) observePending(meter metric.Meter) error {
	pending, err1 := meter.Int64ObservableGauge("geranium.jobs.pending", metric.WithUnit("{job}"),
		metric.WithDescription("Accepted jobs of which no worker is known to have begun a task, by queue that has some; on the leader only."))
	_, err2 := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		queues := m.pending.Load()
		if queues == nil {
			return nil
		}
		for queue, count := range *queues {
			o.ObserveInt64(pending, int64(count), metric.WithAttributes(attribute.String("queue", queue)))
		}
		return nil
	}, pending)
	if err := errors.Join(err1, err2); err != nil {
		return fmt.Errorf("create the gauge of the pending jobs: %w", err)
	}
	return nil
}

func (m *Metrics) recordRefusal(queue string) {
	m.refused.Add(context.Background(), 1, metric.WithAttributes(attribute.String("queue", queue)))
}

func (m *Metrics) recordMembershipChange(kind raft.ChangeKind, err error) {
	outcome := "proposed"
	if err != nil {
		outcome = "refused"
	}
	m.changes.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("kind", kind.String()), attribute.String("outcome", outcome)))
}

func (m *Metrics) recordHeartbeatBatch(heartbeats int, err error) {
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	m.batched.Add(context.Background(), int64(heartbeats))
	m.batches.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

func orderKind(o *dispatch.Order) string {
	switch {
	case o.Start != nil:
		return "start"
	case o.Stop != nil:
		return "stop"
	case o.Pace != nil:
		return "pace"
	}
	return "hold"
}

func (m *Metrics) recordOrder(o *dispatch.Order) {
	m.orders.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", orderKind(o))))
}

func (m *Metrics) recordRepair(event string) {
	m.repairs.Add(context.Background(), 1, metric.WithAttributes(attribute.String("event", event)))
}

func (m *Metrics) recordCrash(j *jobs.Job) {
	m.crashes.Add(context.Background(), 1, metric.WithAttributes(attribute.String("queue", j.Queue)))
}

func (m *Metrics) recordJobEnded(j *jobs.Job) {
	labels := metric.WithAttributes(attribute.String("queue", j.Queue), attribute.String("state", string(j.State)))
	m.ended.Add(context.Background(), 1, labels)
	m.duration.Record(context.Background(), float64(j.EndedAt-j.AcceptedAt)/1000, labels)
}
