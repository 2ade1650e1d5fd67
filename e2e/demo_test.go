package e2e_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"text/tabwriter"
	"time"

	"geraniumwall/workerapi"
)

const (
	demoTimeout   = 110 * time.Second
	demoQuotes    = 1500
	demoQuoteGap  = 8 * time.Millisecond
	demoHolds     = 60
	demoHoldGap   = 200 * time.Millisecond
	demoPlans     = 60
	demoPlanGap   = 150 * time.Millisecond
	demoKillAfter = 3 * time.Second
)

// TestDemo starts a fleet of separate processes, sends every kind of work, kills a
// scheduler and a control replica in the middle, and fails if anything is lost or
// doubled.
func TestDemo(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	f, err := newFleet(t.TempDir(), layout{
		domains:        []string{"bern-a", "thun-b"},
		controlDomains: []string{"bern-a", "thun-b", "biel-c"},
		gatewaysPer:    2, workersPer: 4, workersInOneRack: 2,
		services: []string{"quote-check", "stock-hold"},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer f.killAll()
	if err := f.start(ctx); err != nil {
		t.Fatal(err)
	}
	fmt.Printf("fleet: %d processes in %d failure domains\n", len(f.all()), len(f.domains))
	if err := f.applyExample(); err != nil {
		t.Fatal(err)
	}
	d := newDriver(f.gatewayAddresses())
	s := &scenario{fleet: f, driver: d}
	if err := s.run(ctx); err != nil {
		t.Fatal(err)
	}
	problems, err := s.report(os.Stdout)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range problems {
		t.Error(p)
	}
}

// scenario is the traffic of the demo with its faults.
type scenario struct {
	fleet  *fleet
	driver *driver
	views  map[string]taskView
	// evictedTask is the task that is moved off its worker.
	evictedTask string
	// notAccepted are tasks whose submission was never confirmed.
	notAccepted int
}

func (s *scenario) run(ctx context.Context) error {
	d := s.driver
	long, err := d.submit(ctx, "long-batch", planning("cutting-plan", 15_000))
	if err != nil {
		return fmt.Errorf("submit the long batch job: %w", err)
	}
	s.evictedTask = long
	traffic := make(chan struct{})
	go func() {
		defer close(traffic)
		s.traffic(ctx)
	}()
	time.Sleep(demoKillAfter)
	if err := s.evictLong(ctx); err != nil {
		return err
	}
	active, err := s.fleet.activeScheduler(ctx, s.fleet.domains[0])
	if err != nil {
		return err
	}
	fmt.Printf("kill -9 %s (active scheduler)\n", active.name)
	active.kill()
	time.Sleep(demoKillAfter)
	leader, err := s.fleet.leader(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("kill -9 %s (leader of the control replicas)\n", leader.name)
	leader.kill()
	<-traffic
	s.views = map[string]taskView{}
	for key, id := range d.tasks {
		view, err := d.await(ctx, id)
		if err != nil {
			return fmt.Errorf("task %s: %w", key, err)
		}
		s.views[id] = view
	}
	return nil
}

func planning(job string, runMS int) taskDocument {
	return taskDocument{Team: "planning", Job: job, Payload: []byte(fmt.Sprintf(`{"run_ms":%d}`, runMS))}
}

func (s *scenario) traffic(ctx context.Context) {
	d := s.driver
	done := make(chan struct{}, 3)
	go func() {
		every(ctx, demoQuoteGap, demoQuotes, func(i int) { d.call(ctx, "quote-check", "", `{"work_ms":3}`) })
		done <- struct{}{}
	}()
	go func() {
		every(ctx, demoHoldGap, demoHolds, func(i int) { s.hold(ctx, i) })
		done <- struct{}{}
	}()
	go func() {
		every(ctx, demoPlanGap, demoPlans, func(i int) {
			if _, err := d.submit(ctx, fmt.Sprintf("plan-%d", i), planning("cutting-plan", 200+rand.IntN(600))); err != nil {
				s.driver.mu.Lock()
				s.notAccepted++
				s.driver.mu.Unlock()
			}
		})
		done <- struct{}{}
	}()
	for range 3 {
		<-done
	}
}

// hold sends a stock hold and resends it under the same key until it is decided.
func (s *scenario) hold(ctx context.Context, i int) {
	key := fmt.Sprintf("hold-%d", i)
	for range 20 {
		result := s.driver.call(ctx, "stock-hold", key, `{"work_ms":150}`)
		if result.outcome == workerapi.OutcomeDone || result.outcome == workerapi.OutcomeFailed || ctx.Err() != nil {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// evictLong drains the worker of the long task until the task has been evicted.
func (s *scenario) evictLong(ctx context.Context) error {
	records, err := s.fleet.records()
	if err != nil {
		return err
	}
	runs := records.runs[s.evictedTask]
	if len(runs) == 0 {
		return fmt.Errorf("the long batch job %s has not started after %v", s.evictedTask, demoKillAfter)
	}
	worker := runs[0].worker
	fmt.Printf("drain %s: evicts the long batch job\n", worker)
	if _, err := s.fleet.geranium(nil, "drain", worker); err != nil {
		return err
	}
	for ctx.Err() == nil {
		if view, err := s.driver.get(ctx, s.evictedTask); err == nil && view.Evictions > 0 {
			_, err := s.fleet.geranium(nil, "drain", "-undo", worker)
			return err
		}
	}
	return fmt.Errorf("the long batch job was not evicted: %w", ctx.Err())
}

// report prints the table and returns everything that was lost or doubled.
func (s *scenario) report(w *os.File) ([]string, error) {
	recorded, err := s.fleet.records()
	if err != nil {
		return nil, err
	}
	problems := recorded.problems(nil)
	tabs := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tabs, "REQUESTS\tSENT\tDONE\tFAILED\tNOT_RUN\tUNKNOWN\tP50\tP99")
	for _, kind := range []string{"quote-check", "stock-hold"} {
		fmt.Fprintln(tabs, s.kindRow(kind))
	}
	tabs.Flush()
	problems = append(problems, s.holdProblems(recorded)...)
	finished, evicted, failed := 0, 0, 0
	for id, view := range s.views {
		evicted += view.Evictions
		switch view.State {
		case "done":
			finished++
		default:
			failed++
			problems = append(problems, fmt.Sprintf("task %s ended %s: %s", id, view.State, view.Reason))
		}
		if n := finishedRuns(recorded.runs[id]); n != 1 {
			problems = append(problems, fmt.Sprintf("task %s has %d finished runs, want exactly 1", id, n))
		}
	}
	resumed := 0
	if len(recorded.runs[s.evictedTask]) > 1 {
		resumed = 1
	}
	if s.views[s.evictedTask].Evictions == 0 || resumed == 0 {
		problems = append(problems, "the long batch job was not evicted and resumed")
	}
	fmt.Fprintf(w, "tasks: accepted %d, finished %d, evictions %d, resumed %d, not finished %d, submissions never confirmed %d\n",
		len(s.views), finished, evicted, resumed, failed, s.notAccepted)
	fmt.Fprintf(w, "runs in two places at once, doubled or lost: %d\n", len(problems))
	return problems, nil
}

func finishedRuns(runs []run) int {
	n := 0
	for _, r := range runs {
		if r.done {
			n++
		}
	}
	return n
}

// holdProblems checks that each stock hold reached a worker at most once, and
// exactly once if the caller saw it done.
func (s *scenario) holdProblems(recorded records) []string {
	var found []string
	for key, starts := range recorded.requests {
		if starts > 1 {
			found = append(found, fmt.Sprintf("stock hold %s ran %d times", key, starts))
		}
	}
	for _, c := range s.driver.calls {
		if c.kind == "stock-hold" && c.outcome == workerapi.OutcomeDone && recorded.requests[c.key] != 1 {
			found = append(found, fmt.Sprintf("stock hold %s was answered done but ran %d times", c.key, recorded.requests[c.key]))
		}
	}
	return found
}

func (s *scenario) kindRow(kind string) string {
	counts := map[workerapi.Outcome]int{}
	var latencies []time.Duration
	for _, c := range s.driver.calls {
		if c.kind != kind {
			continue
		}
		counts[c.outcome]++
		if c.outcome == workerapi.OutcomeDone {
			latencies = append(latencies, c.latency)
		}
	}
	slices.Sort(latencies)
	total := counts[workerapi.OutcomeDone] + counts[workerapi.OutcomeFailed] + counts[workerapi.OutcomeNotRun] + counts[workerapi.OutcomeUnknown]
	return fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d\t%v\t%v", kind, total, counts[workerapi.OutcomeDone],
		counts[workerapi.OutcomeFailed], counts[workerapi.OutcomeNotRun], counts[workerapi.OutcomeUnknown],
		quantile(latencies, 0.5), quantile(latencies, 0.99))
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))].Round(10 * time.Microsecond)
}
