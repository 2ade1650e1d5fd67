package operator_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/config"
	"geraniumwall/operator"
	"geraniumwall/operatorapi"
	"geraniumwall/rpc/controlpb"
)

var _ = Describe("Annotate", func() {
	before := config.Config{
		Domains: []string{"a", "b"},
		Teams:   []config.Team{{Name: "planning", Quota: config.Resources{CPUMillis: 100}}},
		Jobs:    []config.Job{{Name: "plan"}},
	}
	after := config.Config{
		Domains: []string{"b"},
		Teams:   []config.Team{{Name: "planning", Quota: config.Resources{CPUMillis: 50}}},
	}
	running := func(s operatorapi.Status) []string {
		changes := operator.Diff(before, after)
		operator.RunningWorkOf(s).Annotate(changes, before, after)
		texts := make([]string, 0, len(changes))
		for _, c := range changes {
			texts = append(texts, c.Running)
		}
		return texts
	}

	It("claims nothing about running work that no process has reported", func() {
		Expect(running(operatorapi.Status{})).To(And(HaveLen(3), HaveEach(ContainSubstring("not known"))))
	})

	It("gives the counts of a domain and does not split the others by guess", func() {
		s := operatorapi.Status{
			Control:    &controlpb.StatusResponse{TaskCounts: map[string]int64{"pending": 2, "bound": 7, "done": 90}},
			Schedulers: []operatorapi.SchedulerStatus{{Domain: "a", Role: "standby", Running: 9}, {Domain: "a", Role: "active", Running: 5, Waiting: 1}},
		}
		Expect(running(s)).To(HaveExactElements(
			Equal("5 tasks run and 1 wait in the domain"),
			ContainSubstring("above the lowered quota: not known; 2 pending and 7 bound in all"),
			ContainSubstring("of the job: not known")))
	})

	It("says none when every accepted task has ended", func() {
		s := operatorapi.Status{Control: &controlpb.StatusResponse{TaskCounts: map[string]int64{"done": 90}}}
		Expect(running(s)[2]).To(ContainSubstring("none"))
	})
})
