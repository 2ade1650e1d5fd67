package jobd

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
	"geraniumwall/settings"
)

// Guards against a refusal that says that nothing was run, of a submission that is in the
// log or may still get there. The manager has no dispatcher, so that any prediction panics.
func TestSubmissionsInTheLogAreNotRefused(t *testing.T) {
	g := NewWithT(t)
	m := &manager{
		settings: &Settings{Admission: &Admission{Enabled: true}}, store: jobs.NewStore(), unsettled: unsettledSubmissions{},
		now: func() time.Duration { return 0 },
	}
	q, spec := &jobs.Queue{Name: "q"}, &jobs.Spec{Steps: []jobs.Step{{Count: 1}}}
	m.store.Apply(jobs.Command{Submit: &jobs.Submit{ID: "accepted", Queue: "q", Spec: *spec, At: 1}})
	m.store.Apply(jobs.Command{Cancel: &jobs.Cancel{ID: "cancelled before", At: 1}})
	m.unsettled.add("proposed")
	m.unsettled.add("without result")
	m.unsettled.settle("without result", false)
	for _, id := range []string{"accepted", "cancelled before", "proposed", "without result"} {
		g.Expect(m.refuse(id, q, spec)).To(Succeed(), id)
	}
	m.unsettled.settle("proposed", true)
	g.Expect(func() { _ = m.refuse("proposed", q, spec) }).To(Panic(), "others are predicted")
	m.settings.Admission = nil
	g.Expect(m.refuse("other", q, spec)).To(Succeed(), "disabled")
}

// Guards against a weight that keeps a queue from ever being below its share.
func TestSettingsRefuseImpossibleWeights(t *testing.T) {
	g := NewWithT(t)
	s := Settings{
		Name: "n", DataDir: "/data", Listen: "192.0.2.1:80", PeerListen: "192.0.2.1:7000", Seeds: []string{"192.0.2.1:7000"},
		HeartbeatMS: 1500, LeaseMS: 10_000, ShutdownTimeoutMS: 6000, FairShares: &FairShares{Weights: map[string]float64{"q": 2}},
	}
	g.Expect(settings.Validate("f", &s)).To(Succeed())
	for _, weight := range []float64{0, -1, 1e9} {
		s.FairShares.Weights["q"] = weight
		g.Expect(settings.Validate("f", &s)).To(MatchError(ContainSubstring("fair_shares.weights.q")))
	}
}
