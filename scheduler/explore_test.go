package scheduler

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// exploreMessages bounds the decision points of the exploration in the normal suite;
// the soak explores twice as many.
const exploreMessages = 14

// choices are what can happen at a decision point.
var choices = []struct {
	name   string
	what   fate
	happen func(w *world)
}{
	{name: "lost", what: fate{drop: true}},
	{name: "late", what: fate{delay: 1500 * time.Millisecond}},
	{name: "active scheduler crashes", happen: func(w *world) { w.disturbActive((*schedulerProc).crashFor) }},
	{name: "active scheduler freezes", happen: func(w *world) { w.disturbActive((*schedulerProc).freezeFor) }},
	{name: "worker of the task crashes", happen: func(w *world) { w.crashHolder() }},
}

func (s *schedulerProc) crashFor() {
	s.crash()
	s.world.after(2*time.Second, s.boot)
}

func (s *schedulerProc) freezeFor() { s.world.freeze(&s.proc, 2500*time.Millisecond) }

func (w *world) disturbActive(f func(*schedulerProc)) {
	for _, s := range w.schedulers {
		if role, _ := s.core.Role(); s.alive && role == RoleActive {
			f(s)
			return
		}
	}
}

func (w *world) crashHolder() {
	for _, h := range w.workers {
		if h.alive && w.running["moved"] == h.address() {
			h.crash()
			w.after(2*time.Second, h.boot)
			return
		}
	}
}

// small is two schedulers, two workers, one task that moves once, and one slot on
// each worker for which two gateways compete.
func small() *world {
	w := newWorld(2, 2, 1)
	w.after(2200*time.Millisecond, func() { w.control.submit("moved", `{"run_ms":2500}`) })
	w.after(3500*time.Millisecond, func() { w.drainHolder("moved") })
	return w
}

// decide gives the chosen fates to the numbered messages of task transitions.
func (w *world) decide(chosen map[int]int) {
	counted := map[string]bool{}
	for _, label := range taskMessages {
		counted[label] = label != "sync" && label != "sync-answer"
	}
	index := 0
	w.fates = func(label string, _ int) fate {
		if !counted[label] {
			return fate{}
		}
		index++
		c, faulty := chosen[index]
		if !faulty {
			return fate{}
		}
		if choices[c].happen != nil {
			w.after(0, func() { choices[c].happen(w) })
		}
		return choices[c].what
	}
}

// explore runs every combination of up to two faults at the first messages.
func explore(t *testing.T, messages int) {
	runs := 0
	try := func(chosen map[int]int) {
		runs++
		w := small()
		w.decide(chosen)
		if failure := finish(w, limitWithFaults); failure != "" {
			t.Fatalf("%s: %s", describe(chosen), failure)
		}
	}
	try(nil)
	for i := 1; i <= messages; i++ {
		for a := range choices {
			try(map[int]int{i: a})
			for j := i + 1; j <= messages; j++ {
				for b := range choices {
					try(map[int]int{i: a, j: b})
				}
			}
		}
	}
	t.Logf("%d runs", runs)
}

func describe(chosen map[int]int) string {
	text := ""
	for i, c := range chosen {
		text += fmt.Sprintf("message %d: %s; ", i, choices[c].name)
	}
	return text
}

// TestExploration guards against any pair of faults that makes a task run twice,
// lose its outcome, or a slot be granted twice.
func TestExploration(t *testing.T) { explore(t, exploreMessages) }

// TestSoakExploration explores more decision points.
func TestSoakExploration(t *testing.T) {
	if os.Getenv(soakVariable) == "" {
		t.Skip("set " + soakVariable)
	}
	explore(t, 2*exploreMessages)
}
