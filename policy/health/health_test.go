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

func workerID(n int) string { return fmt.Sprint("w", n) }

// newFleet returns a tracker of 50 workers that have each completed a task.
func newFleet() *health.Tracker {
	t := health.NewTracker(true)
	for i := range 50 {
		t.Add(workerID(i))
		t.Success(workerID(i), fmt.Sprint("warm", i), "job")
	}
	return t
}

// failUntilQuarantined fails distinct tasks on a worker until it is quarantined, and
// returns their number, or 0 if it is not.
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
	// Guards against a broken worker that drains the queue: tasks fail fast on it, so
	// it has free capacity for the next ones.
	It("is quarantined after a few failures, and no other is", func() {
		t := newFleet()
		Expect(failUntilQuarantined(t, time.Minute, workerID(7))).To(BeNumerically("~", 3, 1))
		for i := range 50 {
			Expect(t.Limit(workerID(i)) == 0).To(Equal(i == 7))
		}
	})

	// Guards against quarantining all workers of a small domain: its tasks would wait
	// for the next probe, for up to 10 minutes.
	It("is not quarantined when it would leave less than half of a small domain", func() {
		for n, allowed := range map[int]int{1: 0, 2: 1, 3: 1, 4: 2} {
			t := health.NewTracker(true)
			for i := range n {
				t.Add(workerID(i))
			}
			quarantined := 0
			for i := range n {
				if failUntilQuarantined(t, time.Duration(i)*2*time.Minute, workerID(i)) > 0 {
					quarantined++
				}
			}
			Expect(quarantined).To(Equal(allowed), "%d workers", n)
		}
	})

	// Guards against a repaired worker that stays quarantined, and against a broken one
	// that gets its full load after a single success.
	It("is probed and readmitted gradually", func() {
		t := newFleet()
		failUntilQuarantined(t, 0, workerID(7))
		t.Step(29 * time.Second)
		Expect(t.Limit(workerID(7))).To(BeZero())
		t.Step(30 * time.Second)
		Expect(t.Limit(workerID(7))).To(Equal(1))
		var limits []int
		for i := 0; t.Limit(workerID(7)) >= 0 && i < 100; i++ {
			t.Success(workerID(7), fmt.Sprint("probe", i), "job")
			limits = append(limits, t.Limit(workerID(7)))
		}
		Expect(limits[0]).To(Equal(2))
		Expect(limits).To(ContainElements(4, 8, -1))
		Expect(len(limits)).To(BeNumerically(">=", 10))
	})

	// Guards against a failing worker that ends its quarantine by restarting.
	It("stays in quarantine when it leaves and returns", func() {
		t := newFleet()
		failUntilQuarantined(t, 0, workerID(7))
		t.Forget(workerID(7))
		t.Add(workerID(7))
		Expect(t.Limit(workerID(7))).To(BeZero())
	})

	// Guards against probing a broken worker at a constant rate, which would fail a
	// task every 30 s.
	It("is probed less often after each failed probe", func() {
		t := newFleet()
		failUntilQuarantined(t, 0, workerID(7))
		t.Step(30 * time.Second)
		t.Failure(31*time.Second, workerID(7), "probe", "job")
		Expect(t.Limit(workerID(7))).To(BeZero())
		t.Step(31*time.Second + 59*time.Second)
		Expect(t.Limit(workerID(7))).To(BeZero())
		t.Step(31*time.Second + 60*time.Second)
		Expect(t.Limit(workerID(7))).To(Equal(1))
	})
})

var _ = Describe("failures with another cause than the worker", func() {
	// Guards against quarantining healthy workers for a task that fails on every
	// worker.
	It("are attributed to a task or job that fails on many workers", func() {
		t := newFleet()
		for i := range 40 {
			t.Failure(time.Duration(i)*30*time.Second, workerID(i%5), fmt.Sprint("bad", i/5), "faulty")
			t.Success(workerID(i%5), fmt.Sprint("good", i), "job")
		}
		for i := range 50 {
			Expect(t.Limit(workerID(i))).To(Equal(-1))
		}
		Expect(t.FailsEverywhere(time.Minute, "bad0")).To(Equal(5))
	})

	// Guards against quarantining the fleet when a common cause makes all tasks fail.
	It("don't quarantine the fleet when all workers fail at once", func() {
		t := newFleet()
		for n := range 20 {
			for i := range 50 {
				t.Failure(time.Minute+time.Duration(n)*time.Second, workerID(i), fmt.Sprint(n, "-", i), "job")
			}
		}
		quarantined := 0
		for i := range 50 {
			if t.Limit(workerID(i)) == 0 {
				quarantined++
			}
		}
		Expect(quarantined).To(BeNumerically("<=", 5), "at most a tenth of the fleet")
	})
})
