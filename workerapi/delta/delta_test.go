package delta_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"geraniumwall/workerapi"
	"geraniumwall/workerapi/delta"
)

// worker makes whole heartbeats of a changing set of attempts.
type worker struct {
	sequence uint64
	now      time.Duration
	tasks    map[string]workerapi.TaskReport
}

func (w *worker) whole() *workerapi.Heartbeat {
	w.sequence++
	hb := &workerapi.Heartbeat{
		Worker: "w", Incarnation: "i", Sequence: w.sequence, Domain: "d", Rack: "r", Address: "a",
		Capacity: workerapi.Resources{CPUMillis: 32_000, MemoryMB: 125_000}, Slots: 8, Connections: 64,
		Services: []string{"quote-check"}, Session: w.sequence % 3,
	}
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		r := w.tasks[id]
		// The progress tells when a report was made.
		if r.Progress = w.now.Seconds() / 1000; r.Phase != workerapi.PhaseRunning {
			r.Progress = 0
		}
		hb.Tasks = append(hb.Tasks, r)
	}
	return hb
}

// stable is a report without the values that may lag.
func stable(hb *workerapi.Heartbeat) map[string]workerapi.TaskReport {
	reports := map[string]workerapi.TaskReport{}
	for _, r := range hb.Tasks {
		r.Progress, r.Used, r.SinceCheckpointMS = 0, workerapi.Resources{}, 0
		reports[r.ID] = r
	}
	return reports
}

// TestRestored guards against a scheduler that sees another state than the worker
// sent: random changes, lost heartbeats, lost and late answers, restarts of the
// scheduler. What is restored must equal the whole heartbeat.
func TestRestored(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := &worker{tasks: map[string]workerapi.TaskReport{}}
		sender, receiver := delta.NewSender(), &delta.Receiver{}
		var late []uint64
		format := rapid.IntRange(1, workerapi.FormatCompact).Draw(r, "format")
		for i := range rapid.IntRange(1, 60).Draw(r, "beats") {
			w.change(r, i)
			w.now += time.Duration(rapid.IntRange(0, 3000).Draw(r, "ms")) * time.Millisecond
			whole := w.whole()
			short := sender.Shorten(w.now, whole)
			switch rapid.IntRange(0, 9).Draw(r, "fault") {
			case 0: // the heartbeat is lost
				sender.Failed(whole.Sequence)
				continue
			case 1: // the answer is lost
				receiver.Restore(overWire(r, short))
				sender.Failed(whole.Sequence)
				continue
			case 2: // the scheduler has restarted
				receiver = &delta.Receiver{}
				format = rapid.IntRange(1, workerapi.FormatCompact).Draw(r, "format")
			case 3: // the answer comes after the next heartbeat was sent
				if _, whole := receiver.Restore(overWire(r, short)); whole {
					late = append(late, short.Sequence)
				}
				continue
			}
			restored, held := receiver.Restore(overWire(r, short))
			answer := &workerapi.HeartbeatAnswer{SendWhole: !held}
			if held && short.Base == 0 {
				answer.Format = format
			}
			sender.Answered(whole.Sequence, answer)
			if held {
				readable(r, format, whole, short)
				compare(r, whole, restored)
			}
			for _, sequence := range late {
				sender.Answered(sequence, &workerapi.HeartbeatAnswer{})
			}
			late = nil
		}
	})
}

// readable checks that a scheduler of format 1 misses nothing that it is sent.
func readable(r *rapid.T, format int, whole, short *workerapi.Heartbeat) {
	if format < workerapi.FormatCompact && (len(short.Usage) > 0 || short.Domain == "" || short.Session != whole.Session) {
		r.Fatalf("a scheduler of format 1 cannot read %+v", short)
	}
}

func (w *worker) change(r *rapid.T, i int) {
	id := fmt.Sprintf("t%d", rapid.IntRange(0, 4).Draw(r, "task"))
	report, known := w.tasks[id]
	switch rapid.IntRange(0, 5).Draw(r, "change") {
	case 0:
		w.tasks[id] = workerapi.TaskReport{ID: id, Attempt: workerapi.Attempt{Epoch: 1, Number: uint64(i)}, Phase: workerapi.PhaseRunning}
	case 1:
		delete(w.tasks, id)
	case 2:
		if known {
			report.Phase, report.Result = workerapi.PhaseDone, []byte{byte(i)}
			w.tasks[id] = report
		}
	case 3:
		if known {
			report.Checkpoint, report.Throttle = []byte{byte(i)}, 0.5
			w.tasks[id] = report
		}
	case 4:
		if known {
			report.Checkpoint = []byte{byte(i), 1}
			report.Used = workerapi.Resources{CPUMillis: rapid.Int64Range(0, 40).Draw(r, "cpu"), Accelerators: int64(i % 2)}
			w.tasks[id] = report
		}
	}
}

func overWire(r *rapid.T, hb *workerapi.Heartbeat) *workerapi.Heartbeat {
	document, err := json.Marshal(hb)
	if err != nil {
		r.Fatal(err)
	}
	var read workerapi.Heartbeat
	if err := json.Unmarshal(document, &read); err != nil {
		r.Fatal(err)
	}
	return &read
}

func compare(r *rapid.T, whole, restored *workerapi.Heartbeat) {
	g := NewWithT(r)
	g.Expect(stable(restored)).To(Equal(stable(whole)))
	copied := *restored
	copied.Tasks, copied.Format = whole.Tasks, whole.Format
	g.Expect(&copied).To(Equal(whole))
	volatile(g, whole, restored)
}

// volatile checks how far values may lag that are not sent with each heartbeat.
func volatile(g *WithT, whole, restored *workerapi.Heartbeat) {
	now := map[string]workerapi.TaskReport{}
	for _, r := range whole.Tasks {
		now[r.ID] = r
	}
	for _, r := range restored.Tasks {
		n := now[r.ID]
		if n.Phase != workerapi.PhaseRunning {
			continue
		}
		cpu := float64(r.Used.CPUMillis)
		g.Expect(float64(n.Used.CPUMillis)).To(BeNumerically("~", cpu, max(0.5, cpu/10)))
		g.Expect(r.Used.Accelerators).To(Equal(n.Used.Accelerators))
		g.Expect(n.Progress - r.Progress).To(BeNumerically("<", (delta.RefreshAfter.Seconds()+0.1)/1000))
	}
}

// TestRenewAll guards against a lease that is renewed for an attempt that was not
// in the heartbeat, or not renewed for one that was.
func TestRenewAll(t *testing.T) {
	g := NewWithT(t)
	hb := &workerapi.Heartbeat{Tasks: []workerapi.TaskReport{
		{ID: "a", Phase: workerapi.PhaseRunning}, {ID: "b", Phase: workerapi.PhaseDone}, {ID: "c", Phase: workerapi.PhaseRunning},
	}}
	both := []workerapi.TaskRef{{ID: "a"}, {ID: "c"}}
	answer := workerapi.HeartbeatAnswer{Renew: slices.Clone(both)}
	delta.Collapse(hb, &answer)
	g.Expect(answer.RenewAll).To(BeTrue())
	delta.Expand(hb, &answer)
	g.Expect(answer.Renew).To(Equal(both))

	hb.Holder, hb.Format = "s#1", workerapi.FormatCompact
	for _, scheduler := range []string{"s#1", "s#2"} {
		named := workerapi.HeartbeatAnswer{Scheduler: scheduler}
		delta.Collapse(hb, &named)
		delta.Expand(hb, &named)
		g.Expect(named.Scheduler).To(Equal(scheduler))
	}
	hb.Format = 0
	first := workerapi.HeartbeatAnswer{Scheduler: "s#1"}
	delta.Collapse(hb, &first)
	g.Expect(first.Scheduler).To(Equal("s#1"), "a worker of format 1 takes leases from a named scheduler only")

	some := workerapi.HeartbeatAnswer{Renew: both[:1]}
	delta.Collapse(hb, &some)
	g.Expect(some.RenewAll).To(BeFalse())
	delta.Expand(hb, &some)
	g.Expect(some.Renew).To(Equal(both[:1]))
}
