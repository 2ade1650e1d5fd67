package health_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/policy/health"
)

func TestHealth(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "health")
}

func worker(n int) string { return fmt.Sprint("w", n) }

// fleet returns a tracker of 50 workers that have all run tasks well.
func fleet() *health.Tracker {
	t := health.NewTracker(true)
	for i := range 50 {
		t.Add(worker(i))
		t.Success(worker(i), fmt.Sprint("warm", i), "job")
	}
	return t
}

// failUntilQuarantined fails distinct tasks and returns how many it took.
func failUntilQuarantined(t *health.Tracker, now time.Duration, id string) int {
	for n := 1; n <= 100; n++ {
		t.Failure(now, id, fmt.Sprint(id, now, "-", n), "job")
		if t.Limit(id) == 0 {
			return n
		}
	}
	return 0
}

var _ = Describe("a worker that fails every task", func() {
	// Guards against a worker that swallows tasks because failing is fast.
	It("is quarantined after a few failures, and no other is", func() {
		t := fleet()
		Expect(failUntilQuarantined(t, time.Minute, worker(7))).To(BeNumerically("~", 3, 1))
		for i := range 50 {
			Expect(t.Limit(worker(i)) == 0).To(Equal(i == 7))
		}
	})

	// Guards against a small domain that is left without a worker: its tasks then
	// wait for the probes, up to 10 minutes.
	It("is not quarantined when it would leave less than half of a small domain", func() {
		for n, allowed := range map[int]int{1: 0, 2: 1, 3: 1, 4: 2} {
			t := health.NewTracker(true)
			for i := range n {
				t.Add(worker(i))
			}
			quarantined := 0
			for i := range n {
				if failUntilQuarantined(t, time.Duration(i)*2*time.Minute, worker(i)) > 0 {
					quarantined++
				}
			}
			Expect(quarantined).To(Equal(allowed), "%d workers", n)
		}
	})

	// Guards against a repaired worker that stays out, and against trusting a
	// broken one with full load after a single success.
	It("is probed and readmitted slowly", func() {
		t := fleet()
		failUntilQuarantined(t, 0, worker(7))
		t.Step(29 * time.Second)
		Expect(t.Limit(worker(7))).To(BeZero())
		t.Step(30 * time.Second)
		Expect(t.Limit(worker(7))).To(Equal(1))
		var limits []int
		for i := 0; t.Limit(worker(7)) >= 0 && i < 100; i++ {
			t.Success(worker(7), fmt.Sprint("probe", i), "job")
			limits = append(limits, t.Limit(worker(7)))
		}
		Expect(limits[0]).To(Equal(2))
		Expect(limits).To(ContainElements(4, 8, -1))
		Expect(len(limits)).To(BeNumerically(">=", 10))
	})

	// Guards against a failing worker that sheds its quarantine by a restart.
	It("stays in quarantine when it leaves and comes back", func() {
		t := fleet()
		failUntilQuarantined(t, 0, worker(7))
		t.Forget(worker(7))
		t.Add(worker(7))
		Expect(t.Limit(worker(7))).To(BeZero())
	})

	// Guards against probes that cost a task every 30 s for as long as it is broken.
	It("is probed less often after each failed probe", func() {
		t := fleet()
		failUntilQuarantined(t, 0, worker(7))
		t.Step(30 * time.Second)
		t.Failure(31*time.Second, worker(7), "probe", "job")
		Expect(t.Limit(worker(7))).To(BeZero())
		t.Step(31*time.Second + 59*time.Second)
		Expect(t.Limit(worker(7))).To(BeZero())
		t.Step(31*time.Second + 60*time.Second)
		Expect(t.Limit(worker(7))).To(Equal(1))
	})
})

var _ = Describe("failures that are not the worker's", func() {
	// Guards against quarantining good workers for a task that fails everywhere.
	It("blames a task or job that fails on many workers", func() {
		t := fleet()
		for i := range 40 {
			t.Failure(time.Duration(i)*30*time.Second, worker(i%5), fmt.Sprint("bad", i/5), "faulty")
			t.Success(worker(i%5), fmt.Sprint("good", i), "job")
		}
		for i := range 50 {
			Expect(t.Limit(worker(i))).To(Equal(-1))
		}
		Expect(t.FailsEverywhere(time.Minute, "bad0")).To(Equal(5))
	})

	// Guards against quarantining the fleet when a common cause fails all tasks.
	It("keeps the fleet when all workers fail at once", func() {
		t := fleet()
		for n := range 20 {
			for i := range 50 {
				t.Failure(time.Minute+time.Duration(n)*time.Second, worker(i), fmt.Sprint(n, "-", i), "job")
			}
		}
		out := 0
		for i := range 50 {
			if t.Limit(worker(i)) == 0 {
				out++
			}
		}
		Expect(out).To(BeNumerically("<=", 5), "at most a tenth of the fleet")
	})
})
