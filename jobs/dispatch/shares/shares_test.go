package shares_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch/shares"
)

var fleet = jobs.Resources{MilliCPU: 100_000, MemoryMB: 400_000, GPUs: 10}

func cpu(milliCPU int64) jobs.Resources { return jobs.Resources{MilliCPU: milliCPU} }

// Guards against a burst of one caller that lowers what the others are entitled to.
func TestBurstIsChargedToItsCaller(t *testing.T) {
	g := NewWithT(t)
	l := shares.New(fleet, nil, []shares.Queue{
		{Name: "a", Workspace: "a"}, {Name: "b", Workspace: "b", Used: cpu(20_000)},
		{Name: "c", Workspace: "c", Used: cpu(20_000)}, {Name: "d", Workspace: "d", Used: cpu(24_000)},
	})
	for range 30 {
		l.Charge("a", cpu(1000))
	}
	g.Expect(l.Above("a")).To(BeTrue())
	for _, other := range []string{"b", "c", "d"} {
		g.Expect(l.Below(other)).To(BeTrue(), other)
		g.Expect(l.Share(other)).To(Equal(0.25))
	}
}

// Guards against queues that are told apart by CPU alone: one that fills all memory with
// little CPU would count as below its share.
func TestDominantResourceCounts(t *testing.T) {
	g := NewWithT(t)
	l := shares.New(fleet, nil, []shares.Queue{
		{Name: "memory", Workspace: "a", Used: jobs.Resources{MilliCPU: 1000, MemoryMB: 390_000}},
		{Name: "cpu", Workspace: "b", Used: cpu(40_000)},
	})
	g.Expect(l.Used("memory")).To(BeNumerically("~", 0.975))
	g.Expect(l.Above("memory")).To(BeTrue())
	g.Expect(l.Below("cpu")).To(BeTrue())
}

// Guards against a workspace that gets more by splitting its work over many queues.
func TestWorkspaceDividesItsShareAmongItsQueues(t *testing.T) {
	g := NewWithT(t)
	l := shares.New(fleet, nil, []shares.Queue{
		{Name: "one", Workspace: "a"}, {Name: "two", Workspace: "a"}, {Name: "three", Workspace: "a"}, {Name: "single", Workspace: "b"},
	})
	g.Expect(l.Share("one")).To(BeNumerically("~", 1.0/6))
	g.Expect(l.Share("single")).To(BeNumerically("~", 0.5))
	g.Expect(l.Share("without work")).To(BeZero())
}

// Guards against weights that are not applied, or applied at one level only.
func TestWeights(t *testing.T) {
	g := NewWithT(t)
	l := shares.New(fleet, shares.Weights{"a": 3, "one": 4}, []shares.Queue{
		{Name: "one", Workspace: "a"}, {Name: "two", Workspace: "a"}, {Name: "single", Workspace: "b"},
	})
	g.Expect(l.Share("one")).To(BeNumerically("~", 0.6))
	g.Expect(l.Share("two")).To(BeNumerically("~", 0.15))
	g.Expect(l.Share("single")).To(BeNumerically("~", 0.25))
}

// Guards against a division by zero on a fleet without workers or GPUs.
func TestFleetWithoutCapacity(t *testing.T) {
	g := NewWithT(t)
	l := shares.New(jobs.Resources{}, nil, []shares.Queue{{Name: "a", Workspace: "a", Used: jobs.Resources{MilliCPU: 1, GPUs: 1}}})
	g.Expect(l.Used("a")).To(BeZero())
	g.Expect(l.Below("a")).To(BeTrue())
}
