package sizing_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/policy/sizing"
	"geraniumwall/workerapi"
)

func TestSizing(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sizing")
}

var _ = Describe("corrected sizes", func() {
	declared := workerapi.Resources{CPUMillis: 4000, MemoryMB: 8000, Accelerators: 1}
	observe := func(e *sizing.Estimator, n int, cpu, memory int64) {
		for range n {
			e.ObservePeak("job", workerapi.Resources{CPUMillis: cpu, MemoryMB: memory})
		}
	}

	// Guards against overcommitted memory on hosts whose tasks declared too little.
	It("reserves the observed quantile if it exceeds the declared size", func() {
		e := sizing.NewEstimator(true)
		observe(e, 5, 6000, 12_000)
		size := e.Size("job", declared)
		Expect(size.CPUMillis).To(BeNumerically(">=", 6000))
		Expect(size.MemoryMB).To(BeNumerically(">=", 12_000))
		Expect(size.Accelerators).To(BeEquivalentTo(1))
	})

	// Guards against lowering memory, which can't be throttled, and against lowering
	// CPU after only a few samples.
	It("never lowers memory, and lowers CPU only after many samples", func() {
		e := sizing.NewEstimator(true)
		observe(e, 10, 1500, 1000)
		Expect(e.Size("job", declared)).To(Equal(declared))
		observe(e, 100, 1500, 1000)
		size := e.Size("job", declared)
		Expect(size.CPUMillis).To(And(BeNumerically(">=", 1500), BeNumerically("<", 4000)))
		Expect(size.MemoryMB).To(BeEquivalentTo(8000))
		e.NeverLower()
		Expect(e.Size("job", declared)).To(Equal(declared))
	})

	// Guards against a correction that stays in effect after a new version of the job
	// uses less.
	It("drops old samples", func() {
		e := sizing.NewEstimator(true)
		observe(e, 100, 8000, 20_000)
		observe(e, 1500, 3900, 7000)
		Expect(e.Size("job", declared).MemoryMB).To(BeEquivalentTo(8000))
	})

	// Guards against draining hosts and moving tasks on the basis of wrong declared run
	// times.
	It("corrects run times from completed tasks", func() {
		e := sizing.NewEstimator(true)
		Expect(e.RunTime("job", time.Hour)).To(Equal(time.Hour))
		for i := range 100 {
			e.ObserveRun("job", time.Duration(i)*time.Second)
		}
		Expect(e.RunTime("job", time.Hour)).To(BeNumerically("~", 90*time.Second, 5*time.Second))
	})
})
