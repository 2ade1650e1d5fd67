package locality

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

const ms = time.Millisecond

// Guards against a wait that costs more than it saves or endangers the objective, and
// against a task that starts at the slower place although it would end sooner after a wait.
func TestDecide(t *testing.T) {
	worthwhile := Input{
		Duration: time.Second, Slowdown: 3, Room: 500 * ms, RoomExpected: true, Waited: 100 * ms, Deadline: 5 * time.Second,
	}
	for name, c := range map[string]struct {
		change func(in *Input)
		reason Reason
	}{
		"worthwhile":                     {func(*Input) {}, WorthWaiting},
		"room just before the end there": {func(in *Input) { in.Room = 2*time.Second - 1 }, WorthWaiting},
		"room at the end there":          {func(in *Input) { in.Room = 2 * time.Second }, LaterThere},
		"room in time for this task":     {func(in *Input) { in.Demand = 0.49 }, WorthWaiting},
		"room that others need":          {func(in *Input) { in.Demand = 0.5 }, OthersNeedPlace},
		"a place that is always full":    {func(in *Input) { in.Room, in.Demand = ms, 1 }, OthersNeedPlace},
		"a small factor":                 {func(in *Input) { in.Slowdown = 1.4 }, LaterThere},
		"a short task":                   {func(in *Input) { in.Duration = 49 * ms }, SmallGain},
		"no slowdown":                    {func(in *Input) { in.Slowdown = 1 }, SmallGain},
		"a slowdown below 1":             {func(in *Input) { in.Slowdown = 0 }, SmallGain},
		"no declared duration":           {func(in *Input) { in.Duration = 0 }, SmallGain},
		"no room ever":                   {func(in *Input) { in.RoomExpected = false }, NoRoomExpected},
		"room now":                       {func(in *Input) { in.Room = 0 }, PlaceRefuses},
		"waited for the gain":            {func(in *Input) { in.Waited = 2 * time.Second }, LimitReached},
		"late after the wait":            {func(in *Input) { in.Deadline = 1500*ms - 1 }, ObjectiveMissed},
		"in time after the wait only":    {func(in *Input) { in.Deadline = 1500 * ms }, WorthWaiting},
		"late anyway":                    {func(in *Input) { in.Deadline = -time.Second }, ObjectiveMissed},
	} {
		in := worthwhile
		c.change(&in)
		d := Decide(in)
		g := NewWithT(t)
		g.Expect(d.Reason).To(Equal(c.reason), name)
		g.Expect(d.Wait).To(Equal(c.reason == WorthWaiting), name)
	}
}

// Guards against a wait without a bound where the expected room stays wrong: every task has
// to end within twice the time that it takes without a wait, plus one step of the plan.
func TestWaitIsBounded(t *testing.T) {
	g := NewWithT(t)
	const plan = 35 * ms
	for _, slowdown := range []float64{1.01, 1.5, 2, 3, 100} {
		for _, duration := range []time.Duration{ms, 300 * ms, 30 * time.Second} {
			in := Input{Duration: duration, Slowdown: slowdown, Room: ms, RoomExpected: true, Deadline: 1000 * time.Hour}
			for Decide(in).Wait {
				in.Waited += plan
			}
			elsewhere := time.Duration(float64(duration) * slowdown)
			g.Expect(in.Waited+elsewhere).To(BeNumerically("<", 2*elsewhere+plan), "%v, %v", slowdown, duration)
		}
	}
}

func cores(n int64) jobs.Resources { return jobs.Resources{MilliCPU: 1000 * n} }

// Guards against tasks that all expect the same room: each one has to count what waits
// before it.
func TestWaitingTasksSpreadOverTime(t *testing.T) {
	g := NewWithT(t)
	busy := func(ends ...time.Duration) *Worker {
		w := NewWorker(cores(0))
		for _, at := range ends {
			w.AddEnd(at, cores(1))
		}
		return w
	}
	place := []*Worker{busy(300*ms, 100*ms), busy(200*ms, 400*ms)}
	var starts []time.Duration
	for range 6 {
		i, at := Earliest(place, cores(1), func(int) bool { return true })
		g.Expect(i).To(BeNumerically(">=", 0))
		place[i].Reserve(at, time.Second, cores(1))
		starts = append(starts, at)
	}
	g.Expect(starts).To(Equal([]time.Duration{100 * ms, 200 * ms, 300 * ms, 400 * ms, 1100 * ms, 1200 * ms}))
}

// Guards against room that is promised twice: claimed room, and room that is too small until
// a second task has ended.
func TestRoomOfAWorker(t *testing.T) {
	g := NewWithT(t)
	w := NewWorker(cores(1))
	at, ok := w.RoomAt(cores(1))
	g.Expect(ok).To(BeTrue())
	g.Expect(at).To(BeZero())
	w.AddEnd(200*ms, cores(2))
	w.AddEnd(100*ms, cores(1))
	at, _ = w.RoomAt(cores(4))
	g.Expect(at).To(Equal(200 * ms))
	w.Claim(cores(3))
	at, _ = w.RoomAt(cores(1))
	g.Expect(at).To(Equal(200 * ms))
	_, ok = w.RoomAt(cores(2))
	g.Expect(ok).To(BeFalse(), "the claim takes the rest")
	c := w.Clone()
	c.Claim(cores(1))
	_, ok = w.RoomAt(cores(1))
	g.Expect(ok).To(BeTrue(), "a copy changes alone")
	i, _ := Earliest([]*Worker{w}, cores(1), func(int) bool { return false })
	g.Expect(i).To(Equal(-1), "a place that does not admit the task has no room for it")
}
