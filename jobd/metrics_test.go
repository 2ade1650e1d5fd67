package jobd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch"
	"geraniumwall/raft"
	"geraniumwall/replicate"
)

// valuesOf collects the metrics and returns their values by name and attributes.
func valuesOf(t *testing.T, reader *sdkmetric.ManualReader) map[string]float64 {
	var collected metricdata.ResourceMetrics
	NewWithT(t).Expect(reader.Collect(context.Background(), &collected)).To(Succeed())
	values := map[string]float64{}
	key := func(name string, a attribute.Set) string { return name + " " + a.Encoded(attribute.DefaultEncoder()) }
	for _, scope := range collected.ScopeMetrics {
		for _, m := range scope.Metrics {
			switch data := m.Data.(type) {
			case metricdata.Gauge[int64]:
				for _, p := range data.DataPoints {
					values[key(m.Name, p.Attributes)] = float64(p.Value)
				}
			case metricdata.Gauge[float64]:
				for _, p := range data.DataPoints {
					values[key(m.Name, p.Attributes)] = p.Value
				}
			case metricdata.Sum[float64]:
				for _, p := range data.DataPoints {
					values[key(m.Name, p.Attributes)] = p.Value
				}
			case metricdata.Sum[int64]:
				for _, p := range data.DataPoints {
					values[key(m.Name, p.Attributes)] = float64(p.Value)
				}
			}
		}
	}
	return values
}

// Guards against an evacuation that no metric shows, and against gauges of a deployment that does
// not use evacuations.
func TestEvacuationMetrics(t *testing.T) {
	g := NewWithT(t)
	reader := sdkmetric.NewManualReader()
	metrics, err := NewMetrics(sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader)).Meter("test"))
	g.Expect(err).NotTo(HaveOccurred())
	var lines bytes.Buffer
	m := &manager{settings: &Settings{}, store: jobs.NewStore(), metrics: metrics, log: zerolog.New(&lines)}
	for i, domain := range []string{"a", "a", "b"} {
		m.store.Apply(jobs.Command{RegisterWorker: &jobs.RegisterWorker{Worker: jobs.Worker{
			Incarnation: jobs.Incarnation{Worker: fmt.Sprint("w", i)}, Domain: domain,
		}}})
	}
	m.store.Apply(jobs.Command{Evacuate: &jobs.Evacuate{Domain: "a"}})
	m.publishEvacuations()
	g.Expect(valuesOf(t, reader)).To(BeEmpty())
	m.settings.EvacuationApplyMS = 5000
	m.publishEvacuations()
	m.reportEvacuations(&dispatch.Status{EvacuatedStarts: 3, Workers: dispatch.WorkerCounts{Usable: 1, Evacuated: 2}})
	g.Expect(lines.String()).To(BeEmpty())
	m.reportEvacuations(&dispatch.Status{EvacuatedStarts: 1, Workers: dispatch.WorkerCounts{Evacuated: 2}, Queues: []dispatch.QueueStatus{{Tasks: 7}}})
	g.Expect(lines.String()).To(And(ContainSubstring("work waits"), ContainSubstring(`"waiting_tasks":7`)))
	g.Expect(valuesOf(t, reader)).To(Equal(map[string]float64{
		"geranium.jobs.evacuation.domains ": 1, "geranium.jobs.evacuation.workers ": 2, "geranium.jobs.evacuation.cancelled_starts ": 4,
	}))
}

// Guards against a loss of voters that no metric shows, and against a silence that a follower
// reports without knowing it.
func TestMembershipMetrics(t *testing.T) {
	g := NewWithT(t)
	reader := sdkmetric.NewManualReader()
	m, err := NewMetrics(sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader)).Meter("test"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(valuesOf(t, reader)).To(BeEmpty())

	status := &replicate.MembershipStatus{ID: 1, Measured: true, TargetVoters: 3, Members: []replicate.MemberStatus{
		{Member: raft.Member{ID: 1, Address: "h1"}, Self: true, Leader: true},
		{Member: raft.Member{ID: 2, Address: "h2"}, Silence: 1500 * time.Millisecond},
		{Member: raft.Member{ID: 3, Address: "h3", Learner: true}, Silence: 20 * time.Millisecond},
	}}
	m.membership.Store(status)
	m.recordMembershipChange(raft.PromoteLearner, nil)
	m.recordMembershipChange(raft.RemoveMember, errors.New("refused"))
	common := map[string]float64{
		"geranium.replica.members role=voter": 2, "geranium.replica.members role=learner": 1, "geranium.replica.voters.target ": 3,
		"geranium.replica.membership.changes kind=promote,outcome=proposed": 1,
		"geranium.replica.membership.changes kind=remove,outcome=refused":   1,
	}
	follower := *status
	follower.Measured = false
	leaderOnly := map[string]float64{
		"geranium.replica.silence address=h2,replica=2": 1.5, "geranium.replica.silence address=h3,replica=3": 0.02,
	}
	values := valuesOf(t, reader)
	for name, want := range leaderOnly {
		g.Expect(values).To(HaveKeyWithValue(name, want))
		delete(values, name)
	}
	g.Expect(values).To(Equal(common))
	m.membership.Store(&follower)
	g.Expect(valuesOf(t, reader)).To(Equal(common))
}

// Guards against pending jobs that no metric shows, and against the count of a former leader.
func TestPendingMetric(t *testing.T) {
	g := NewWithT(t)
	reader := sdkmetric.NewManualReader()
	metrics, err := NewMetrics(sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader)).Meter("test"))
	g.Expect(err).NotTo(HaveOccurred())
	store := jobs.NewStore()
	key := jobs.TaskKey{Job: "bound"}
	for _, c := range []jobs.Command{
		{Submit: &jobs.Submit{ID: key.Job, Queue: "q", Spec: jobs.Spec{Steps: []jobs.Step{{Count: 1}}}, At: 1}},
		{Bind: &jobs.Bind{Task: key, Attempt: 1, At: 2}},
	} {
		g.Expect(store.Apply(c).Applied).To(BeTrue())
	}
	m := &manager{store: store, metrics: metrics}
	g.Expect(m.countPending()).To(Equal(1))
	g.Expect(valuesOf(t, reader)).To(HaveKeyWithValue("geranium.jobs.pending queue=q", 1.0))
	metrics.pending.Store(nil)
	g.Expect(valuesOf(t, reader)).NotTo(HaveKey("geranium.jobs.pending queue=q"))
}
