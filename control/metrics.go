package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"geraniumwall/raft"
	"geraniumwall/rpc/controlpb"
)

// gaugeTimeout bounds the wait for the actor at one collection of the metrics.
const gaugeTimeout = time.Second

// metrics are the instruments of a replica.
type metrics struct {
	proposals metric.Float64Histogram
	// peerBytes counts both directions of the connections made to other replicas.
	peerBytes metric.Int64Counter
}

func newMetrics(meter metric.Meter, s *Server) (*metrics, error) {
	proposals, err := meter.Float64Histogram("control.proposal.duration",
		metric.WithUnit("s"), metric.WithDescription("Time from a request to its application by the log."))
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	peerBytes, err := meter.Int64Counter("control.peer.bytes",
		metric.WithUnit("By"), metric.WithDescription("Traffic on connections made to other replicas, both directions."))
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	if err := observeLog(meter, s); err != nil {
		return nil, err
	}
	return &metrics{proposals: proposals, peerBytes: peerBytes}, nil
}

// observeLog registers the gauges of the log.
func observeLog(meter metric.Meter, s *Server) error {
	gauges := []struct {
		name, description string
		value             func(*view) int64
	}{
		{"control.applied.index", "Index of the last applied entry of the log", func(v *view) int64 { return int64(v.applied) }},
		{"control.commit.index", "Index of the last committed entry of the log", func(v *view) int64 { return int64(v.status.Commit) }},
		{"control.term", "Term of the log", func(v *view) int64 { return int64(v.status.Term) }},
		{"control.leader", "1 on the leader of the log, else 0", func(v *view) int64 { return boolGauge(v.status.Role == raft.RoleLeader) }},
	}
	for _, g := range gauges {
		_, err := meter.Int64ObservableGauge(g.name, metric.WithDescription(g.description), metric.WithInt64Callback(
			func(_ context.Context, o metric.Int64Observer) error {
				// The metrics are served before the replica has started.
				if v := s.view.Load(); v != nil {
					o.Observe(g.value(v))
				}
				return nil
			}))
		if err != nil {
			return fmt.Errorf("metrics: %w", err)
		}
	}
	return nil
}

// observeState registers the gauges that are read from the replicated state. The
// replica must have started.
func observeState(meter metric.Meter, s *Server) error {
	version, err1 := meter.Int64ObservableGauge("control.config.version", metric.WithDescription("Configuration version in force"))
	tasks, err2 := meter.Int64ObservableGauge("control.tasks", metric.WithDescription("Tasks in the replicated state, by state"))
	lease, err3 := meter.Float64ObservableGauge("control.lease.age", metric.WithUnit("s"),
		metric.WithDescription("Time since the last renewal of a domain's leases, by domain; on the leader only"))
	lag, err4 := meter.Int64ObservableGauge("control.replica.lag",
		metric.WithDescription("Entries of the log that a replica is not known to have, by replica; on the leader only"))
	inForce, err5 := meter.Int64ObservableGauge("control.process.config.version",
		metric.WithDescription("Configuration version in force, by process and kind; on the leader only"))
	_, err6 := meter.RegisterCallback(func(ctx context.Context, o metric.Observer) error {
		bounded, cancel := context.WithTimeout(ctx, gaugeTimeout)
		defer cancel()
		status, err := s.LocalStatus(bounded)
		if err != nil {
			// An error would drop the last push, which comes after the replica's end.
			return nil //nolint:nilerr // the gauges are left out
		}
		o.ObserveInt64(version, int64(status.GetConfigVersion()))
		for state, n := range status.GetTaskCounts() {
			o.ObserveInt64(tasks, n, metric.WithAttributes(attribute.String("state", state)))
		}
		if status.GetLeader() == status.GetReplica() {
			observeLeases(o, lease, status.GetDomains())
			observeLag(o, lag, status)
			observeProcesses(o, inForce, status.GetProcesses())
		}
		return nil
	}, version, tasks, lease, lag, inForce)
	if err := errors.Join(err1, err2, err3, err4, err5, err6); err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	return nil
}

func observeLeases(o metric.Observer, lease metric.Float64Observable, domains []*controlpb.DomainStatus) {
	for _, d := range domains {
		age := time.Duration(d.GetLeaseAgeMs()) * time.Millisecond
		o.ObserveFloat64(lease, age.Seconds(), metric.WithAttributes(attribute.String("domain", d.GetDomain())))
	}
}

func observeLag(o metric.Observer, lag metric.Int64Observable, status *controlpb.StatusResponse) {
	var last uint64
	for _, r := range status.GetReplicas() {
		last = max(last, r.GetMatchIndex())
	}
	for _, r := range status.GetReplicas() {
		replica := metric.WithAttributes(attribute.Int64("replica", int64(r.GetId())))
		o.ObserveInt64(lag, int64(last-r.GetMatchIndex()), replica)
	}
}

func observeProcesses(o metric.Observer, inForce metric.Int64Observable, processes []*controlpb.ProcessStatus) {
	for _, p := range processes {
		o.ObserveInt64(inForce, int64(p.GetConfigVersion()), metric.WithAttributes(
			attribute.String("process", p.GetProcess()), attribute.String("kind", p.GetKind())))
	}
}

func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// proposal records the time and the fate of a proposal.
func (m *metrics) proposal(d time.Duration, err error) {
	fate := "applied"
	switch {
	case errors.Is(err, errUnresolved):
		fate = "unknown"
	case err != nil:
		fate = "refused"
	}
	m.proposals.Record(context.Background(), d.Seconds(), metric.WithAttributes(attribute.String("fate", fate)))
}
