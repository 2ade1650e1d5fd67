package e2e_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/config"
)

const (
	// urgentLimit is the promised time from the submission of an urgent task to its
	// start.
	urgentLimit   = 1100 * time.Millisecond
	urgentTimeout = 60 * time.Second
	urgentEach    = 8
	urgentRunMS   = 6000
	// Four workers hold 40 tasks of two cores besides the reservations of their services.
	batchFit   = 40
	batchCount = 64
	// batchRunMS outlasts urgentEach starts at the limit, so that the workers stay full.
	batchRunMS   = 10_000
	startTimeout = 10 * time.Second
)

// urgentRun is one domain whose workers are full of batch tasks.
type urgentRun struct {
	*faultRun
	batch, urgent []string
	cancelled     map[string]bool
}

func (r *urgentRun) submitAs(key string, priority config.Priority, runMS int) string {
	document, err := json.Marshal(struct {
		taskDocument
		Priority config.Priority `json:"priority"`
	}{planning("cutting-plan", runMS), priority})
	r.Expect(err).NotTo(HaveOccurred())
	id, err := r.f.client.Submit(r.ctx, key, document)
	r.Expect(err).NotTo(HaveOccurred())
	return id
}

func (r *urgentRun) runs() map[string][]run {
	recorded, err := r.f.records()
	r.Expect(err).NotTo(HaveOccurred())
	return recorded.runs
}

// fill submits more batch tasks than fit and waits until the workers are full.
func (r *urgentRun) fill() {
	for i := range batchCount {
		r.batch = append(r.batch, r.submitAs(fmt.Sprintf("batch-%d", i), config.Batch, batchRunMS))
	}
	r.Eventually(func() int { return len(r.runs()) }).WithTimeout(startTimeout).
		WithPolling(50*time.Millisecond).Should(BeNumerically(">=", batchFit), "started batch tasks")
}

// submitUrgent submits urgent tasks, each once the one before has started, and
// returns the times from submission to start in ascending order.
func (r *urgentRun) submitUrgent(name string) []time.Duration {
	var list []time.Duration
	for i := range urgentEach {
		began := time.Now().UnixNano()
		id := r.submitAs(fmt.Sprintf("%s-%d", name, i), config.Urgent, urgentRunMS)
		r.urgent = append(r.urgent, id)
		r.Eventually(func() []run { return r.runs()[id] }).WithTimeout(startTimeout).
			WithPolling(20*time.Millisecond).ShouldNot(BeEmpty(), "start of urgent task %s", id)
		list = append(list, time.Duration(r.runs()[id][0].begin-began))
	}
	slices.Sort(list)
	r.t.Logf("%s: %d starts, p50 %v, longest %v", name, len(list), quantile(list, 0.5), list[len(list)-1])
	return list
}

// cancelHalf cancels every other batch task at once; the returned function waits
// for the answers.
func (r *urgentRun) cancelHalf() (wait func()) {
	var all sync.WaitGroup
	problems := make(chan error, batchCount)
	for i := 0; i < batchCount; i += 2 {
		r.cancelled[r.batch[i]] = true
		all.Go(func() {
			_, err := r.f.client.Cancel(r.ctx, r.batch[i])
			problems <- err
		})
	}
	return func() {
		all.Wait()
		close(problems)
		for err := range problems {
			r.Expect(err).NotTo(HaveOccurred())
		}
	}
}

// checkEnds checks that every task that was not cancelled finished exactly once.
func (r *urgentRun) checkEnds() {
	states, evictions := map[string]int{}, 0
	ids := slices.Concat(r.batch, r.urgent)
	for _, id := range ids {
		view, err := r.d.await(r.ctx, id)
		r.Expect(err).NotTo(HaveOccurred())
		states[view.State]++
		evictions += view.Evictions
	}
	r.t.Logf("ends of %d tasks: %v, evictions: %d", len(ids), states, evictions)
	r.Expect(states["cancelled"]).To(BeNumerically(">", batchCount/4), "tasks that the cancellation ended")
	recorded, err := r.f.records()
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(recorded.problems(nil)).To(BeEmpty())
	for _, id := range ids {
		if !r.cancelled[id] {
			r.Expect(finishedRuns(recorded.runs[id])).To(Equal(1), "finished runs of task %s", id)
		}
	}
}

// Guards against urgent tasks that wait longer than the limit behind batch tasks
// or behind the cancellation of half of them.
func TestUrgentStart(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), urgentTimeout)
	t.Cleanup(cancel)
	l := smallLayout()
	l.domains, l.workersPer = []string{"bern-a"}, 4
	f, err := newFleet(t.TempDir(), l)
	r := &urgentRun{faultRun: &faultRun{WithT: NewWithT(t), t: t, ctx: ctx, f: f}, cancelled: map[string]bool{}}
	r.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(f.killAll)
	t.Cleanup(r.keepLogs)
	r.Expect(f.start(ctx)).To(Succeed())
	r.Expect(f.applyExample()).To(Succeed())
	r.d = newDriver(f.gatewayAddresses())
	r.fill()
	full := r.submitUrgent("full workers")
	wait := r.cancelHalf()
	burst := r.submitUrgent("during the cancellation")
	wait()
	r.Expect(max(full[urgentEach-1], burst[urgentEach-1])).To(BeNumerically("<=", urgentLimit))
	r.checkEnds()
}
