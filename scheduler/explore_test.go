package scheduler

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// exploredMessages is the number of messages at which the normal suite injects faults;
// the soak test explores twice as many.
const exploredMessages = 14

// faultChoices are the faults that can be injected at a message.
var faultChoices = []struct {
	name    string
	message messageFault
	inject  func(sim *simulation)
}{
	{name: "lost", message: messageFault{drop: true}},
	{name: "late", message: messageFault{delay: 1500 * time.Millisecond}},
	{name: "active scheduler crashes", inject: func(sim *simulation) { sim.faultActive((*simScheduler).crashAndRestart) }},
	{name: "active scheduler freezes", inject: func(sim *simulation) { sim.faultActive((*simScheduler).freezeBriefly) }},
	{name: "worker of the task crashes", inject: func(sim *simulation) { sim.crashWorkerOfMoved() }},
}

func (s *simScheduler) crashAndRestart() {
	s.crash()
	s.sim.after(2*time.Second, s.boot)
}

func (s *simScheduler) freezeBriefly() { s.sim.freeze(&s.process, 2500*time.Millisecond) }

func (sim *simulation) faultActive(f func(*simScheduler)) {
	for _, s := range sim.schedulers {
		if role, _ := s.core.Role(); s.alive && role == RoleActive {
			f(s)
			return
		}
	}
}

func (sim *simulation) crashWorkerOfMoved() {
	for _, w := range sim.workers {
		if w.alive && sim.runningOn["moved"] == w.address() {
			w.crash()
			sim.after(2*time.Second, w.boot)
			return
		}
	}
}

// smallScenario has two schedulers, two workers, one task that is moved once, and one
// slot on each worker for which two gateways compete.
func smallScenario() *simulation {
	sim := newSimulation(2, 2, 1)
	sim.after(2200*time.Millisecond, func() { sim.control.submit("moved", `{"run_ms":2500}`) })
	sim.after(3500*time.Millisecond, func() { sim.drainWorkerOf("moved") })
	return sim
}

// injectAt injects the chosen faults at the numbered messages of task transitions.
func (sim *simulation) injectAt(chosen map[int]int) {
	counted := map[string]bool{}
	for _, label := range taskMessages {
		counted[label] = label != "sync" && label != "sync-answer"
	}
	index := 0
	sim.faultFor = func(label string, _ int) messageFault {
		if !counted[label] {
			return messageFault{}
		}
		index++
		c, faulty := chosen[index]
		if !faulty {
			return messageFault{}
		}
		if faultChoices[c].inject != nil {
			sim.after(0, func() { faultChoices[c].inject(sim) })
		}
		return faultChoices[c].message
	}
}

// explore runs every combination of up to two faults at the first messages.
func explore(t *testing.T, messages int) {
	runs := 0
	runWith := func(chosen map[int]int) {
		runs++
		sim := smallScenario()
		sim.injectAt(chosen)
		if failure := runToEnd(sim, limitWithFaults); failure != "" {
			t.Fatalf("%s: %s", describe(chosen), failure)
		}
	}
	runWith(nil)
	for i := 1; i <= messages; i++ {
		for a := range faultChoices {
			runWith(map[int]int{i: a})
			for j := i + 1; j <= messages; j++ {
				for b := range faultChoices {
					runWith(map[int]int{i: a, j: b})
				}
			}
		}
	}
	t.Logf("%d runs", runs)
}

func describe(chosen map[int]int) string {
	text := ""
	for i, c := range chosen {
		text += fmt.Sprintf("message %d: %s; ", i, faultChoices[c].name)
	}
	return text
}

// TestExploration guards against pairs of faults that make a task run twice, lose its
// outcome, or grant a slot twice.
func TestExploration(t *testing.T) { explore(t, exploredMessages) }

// TestSoakExploration explores more messages.
func TestSoakExploration(t *testing.T) {
	if os.Getenv(soakVariable) == "" {
		t.Skip("set " + soakVariable)
	}
	explore(t, 2*exploredMessages)
}
