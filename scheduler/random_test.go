package scheduler

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	soakVariable = "GERANIUM_SOAK_SECONDS"
	fixedSeed    = "20260711"
	randomChecks = "150"
	soakChecks   = "200"
	// faultsEnd is the time of the last fault; the rest of a run must complete the tasks.
	faultsEnd = 30 * time.Second
	// completionLimit covers the end of a domain lease, an appointment and every task.
	completionLimit = 240 * time.Second
)

// randomRun draws a simulation with tasks, message faults and process faults.
func randomRun(t *rapid.T) {
	workers := rapid.IntRange(1, 4).Draw(t, "workers")
	sim := newSimulation(workers, rapid.IntRange(0, 3).Draw(t, "gateways"), rapid.IntRange(1, 4).Draw(t, "slots"))
	faults := processFaults(workers)
	drawTime := func(label string) time.Duration {
		return time.Duration(rapid.IntRange(0, int(faultsEnd/time.Millisecond)).Draw(t, label)) * time.Millisecond
	}
	for i := range rapid.IntRange(1, 12).Draw(t, "tasks") {
		id := fmt.Sprintf("t%d", i)
		payload := fmt.Sprintf(`{"run_ms":%d,"fail":%v}`, rapid.IntRange(1, 9000).Draw(t, "run"), rapid.IntRange(0, 9).Draw(t, "fail") == 0)
		at := drawTime("submit")
		sim.after(at, func() { sim.control.submit(id, payload) })
		if rapid.IntRange(0, 3).Draw(t, "cancel") == 0 {
			sim.after(at+drawTime("cancelled")/4, func() { sim.control.cancel(id) })
		}
	}
	for range rapid.IntRange(0, 5).Draw(t, "faults") {
		d := faults[rapid.IntRange(0, len(faults)-1).Draw(t, "fault")]
		sim.after(drawTime("at"), func() { sim.injectIfAllUp(d) })
	}
	sim.injectMessageFaults(rapid.Uint64().Draw(t, "messages"), rapid.IntRange(0, 20).Draw(t, "percent"))
	if failure := runToEnd(sim, completionLimit); failure != "" {
		t.Fatal(failure)
	}
}

// injectIfAllUp skips a fault while a process is down, because it could crash twice.
func (sim *simulation) injectIfAllUp(d processFault) {
	for _, s := range sim.schedulers {
		if !s.alive {
			return
		}
	}
	for _, w := range sim.workers {
		if !w.alive {
			return
		}
	}
	d.inject(sim)
}

// injectMessageFaults drops, delays and duplicates a percentage of all messages.
func (sim *simulation) injectMessageFaults(seed uint64, percent int) {
	random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // reproducible faults
	sim.faultFor = func(string, int) messageFault {
		if sim.now > faultsEnd || random.IntN(100) >= percent {
			return messageFault{}
		}
		switch random.IntN(4) {
		case 0:
			return messageFault{drop: true}
		case 1:
			return messageFault{duplicate: true}
		case 2:
			return messageFault{delay: time.Duration(random.IntN(3000)) * time.Millisecond}
		}
		return messageFault{delay: time.Duration(random.IntN(50)) * time.Millisecond}
	}
}

func checkRandomRuns(t *testing.T, seed, checks string) {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks, "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, randomRun)
}

// TestRandomRuns guards the invariants against combinations of faults.
func TestRandomRuns(t *testing.T) { checkRandomRuns(t, fixedSeed, randomChecks) }

// TestSoakRandomRuns searches for new failing seeds.
func TestSoakRandomRuns(t *testing.T) { soak(t) }

func soak(t *testing.T) {
	seconds, err := strconv.Atoi(os.Getenv(soakVariable))
	if err != nil {
		t.Skip("set " + soakVariable)
	}
	for end := time.Now().Add(time.Duration(seconds) * time.Second); time.Now().Before(end) && !t.Failed(); {
		seed := strconv.FormatUint(rand.Uint64N(1<<62), 10) //nolint:gosec // a new seed, printed below
		t.Logf("seed %s", seed)
		checkRandomRuns(t, seed, soakChecks)
	}
}

// TestRepeatedReportAnswer guards against a duplicated answer to one report that marked
// the next report as recorded, so that a task never ended.
func TestRepeatedReportAnswer(t *testing.T) { checkRandomRuns(t, "734387519755943527", "1") }
