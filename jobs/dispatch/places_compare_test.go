package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch/locality"
)

// nearJob is a job of one task with data on the hot rack.
type nearJob struct {
	at         time.Duration
	estimateMS int64
	// factor is the ratio of its duration to the declared one.
	factor float64
	fails  bool
}

// placeLoad is a load on the hot rack: the CPU that its jobs need near their data, as a share
// of that of the rack. A bursty load comes within the first second of each 10 s. bias is the
// ratio of the declared to the actual durations.
type placeLoad struct {
	share  float64
	bursts bool
	bias   float64
}

func (l placeLoad) String() string {
	kind := "steady"
	if l.bursts {
		kind = "bursts"
	}
	return fmt.Sprintf("%s, %g, declared times %g", kind, l.share, l.bias)
}

const (
	nearWorkers, farWorkers = 6, 18
	nearPeriod              = 40 * time.Second
	// nearWork is the mean work of a job in seconds of one core: 1.65 s, and 1.18 times that
	// with those that take seven times as long.
	nearWork = 1.95
)

// jobs returns jobs with the errors of declared durations that callers make: up to a half.
// 3% take seven times as long, 5% fail once.
func (l placeLoad) jobs(seed uint64) []nearJob {
	rng := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // a simulation
	rate := l.share * 4 * nearWorkers / nearWork
	var list []nearJob
	for at := time.Duration(0); at < nearPeriod; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		actual := []float64{300, 300, 300, 1500, 1500, 6000}[rng.IntN(6)]
		j := nearJob{at: at, estimateMS: int64(actual * l.bias), factor: (0.5 + rng.Float64()) / l.bias, fails: rng.Float64() < 0.05}
		if rng.Float64() < 0.03 {
			j.factor = 7 / l.bias
		}
		if l.bursts {
			const period = 10 * time.Second
			j.at = at/period*period + at%period/10
		}
		list = append(list, j)
	}
	return list
}

// placeResult describes the times of the jobs under one rule.
type placeResult struct {
	mean, p95 time.Duration
	near      float64
	// bySize are the mean times of the jobs of 0.3, 1.5 and 6 s.
	bySize [3]time.Duration
}

// playNear runs the jobs of a load under a rule and returns their times.
func playNear(seed uint64, load placeLoad, slowdown float64, rule func(locality.Input) locality.Decision) placeResult {
	h := newHotRack(seed, nearWorkers, farWorkers, slowdown, rule)
	h.maxDelay = 5 * time.Millisecond
	byID := map[string]nearJob{}
	near := 0
	h.workFactor = func(key jobs.TaskKey) float64 {
		near += boolToInt(h.startedOn(key.Job).rack == hotRackName)
		return byID[key.Job].factor
	}
	h.fails = func(key jobs.TaskKey, attempt int) bool { return attempt == 1 && byID[key.Job].fails }
	for _, j := range load.jobs(seed) {
		h.schedule(j.at, func() { byID[h.near(j.estimateMS)] = j })
	}
	h.runUntil(nearPeriod + 240*time.Second)
	Expect(h.violations).To(BeEmpty())
	var times []time.Duration
	var sum time.Duration
	sums, counts := map[int64]time.Duration{}, map[int64]int{}
	for id, j := range byID {
		took := h.took(id)
		times, sum = append(times, took), sum+took
		sums[j.estimateMS] += took
		counts[j.estimateMS]++
	}
	slices.Sort(times)
	r := placeResult{mean: sum / time.Duration(len(times)), p95: times[len(times)*95/100], near: float64(near) / float64(h.starts)}
	for i, size := range []float64{300, 1500, 6000} {
		estimate := int64(size * load.bias)
		r.bySize[i] = sums[estimate] / time.Duration(counts[estimate])
	}
	return r
}

// mean2 returns the mean of two results.
func (r placeResult) mean2(o placeResult) placeResult {
	r.mean, r.p95, r.near = (r.mean+o.mean)/2, (r.p95+o.p95)/2, (r.near+o.near)/2
	for i := range r.bySize {
		r.bySize[i] = (r.bySize[i] + o.bySize[i]) / 2
	}
	return r
}

// fixedWait is the rule of delay scheduling: every task waits for a fixed time.
func fixedWait(limit time.Duration) func(locality.Input) locality.Decision {
	return func(in locality.Input) locality.Decision {
		switch {
		case in.Waited >= limit:
			return locality.Decision{Reason: locality.LimitReached}
		case !in.RoomExpected:
			return locality.Decision{Reason: locality.NoRoomExpected}
		}
		return locality.Decision{Wait: true, Reason: locality.WorthWaiting}
	}
}

var _ = Describe("The decision about a preferred place", func() {
	rules := []struct {
		name     string
		slowdown float64
		rule     func(locality.Input) locality.Decision
	}{
		{"no wait", 0, nil},
		{"fixed 0.3 s", 2, fixedWait(300 * time.Millisecond)},
		{"fixed 1 s", 2, fixedWait(time.Second)},
		{"fixed 3 s", 2, fixedWait(3 * time.Second)},
		{"decision", 2, locality.Decide},
	}

	// Guards against a rule that makes jobs later than no wait or a fixed one, also where the
	// rack is overloaded all the time and no wait can make it do more work, and where all
	// declared durations are wrong by a factor of two.
	It("beats no wait and fixed waits on one hot rack", func() {
		var table strings.Builder
		sums := make([]time.Duration, len(rules))
		for _, load := range []placeLoad{
			{0.8, false, 1}, {1.2, false, 1}, {2, false, 1}, {0.4, true, 1}, {0.8, true, 1}, {0.8, true, 0.5}, {0.8, true, 2}, {1.2, true, 1},
		} {
			results := make([]placeResult, len(rules))
			for i, rule := range rules {
				r := playNear(1, load, rule.slowdown, rule.rule)
				r = r.mean2(playNear(2, load, rule.slowdown, rule.rule))
				sums[i] += r.mean
				fmt.Fprintf(&table, "| %v | %s | %.2f | %.2f | %.2f | %.2f | %.2f | %.0f%% |\n", load, rule.name, r.mean.Seconds(), r.p95.Seconds(),
					r.bySize[0].Seconds(), r.bySize[1].Seconds(), r.bySize[2].Seconds(), 100*r.near)
				results[i] = r
			}
			decision := results[len(rules)-1].mean.Seconds()
			GinkgoWriter.Printf("%v: %.3f of no wait\n", load, decision/results[0].mean.Seconds())
			for i := range rules {
				Expect(decision).To(BeNumerically("<=", 1.03*results[i].mean.Seconds()), "%v, %s", load, rules[i].name)
			}
			if load.bursts {
				Expect(decision).To(BeNumerically("<=", 0.95*results[0].mean.Seconds()), "%v", load)
			}
		}
		for i, rule := range rules[:len(rules)-1] {
			Expect(sums[len(rules)-1].Seconds()).To(BeNumerically("<=", 0.95*sums[i].Seconds()), rule.name)
		}
		GinkgoWriter.Print("| load | rule | mean s | p95 s | 0.3 s jobs | 1.5 s jobs | 6 s jobs | near |\n", table.String())
	})
})
