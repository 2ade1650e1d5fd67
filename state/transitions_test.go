package state

import (
	"errors"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/rpc/controlpb"
)

const (
	kindDone          = controlpb.TaskEventKind_TASK_EVENT_KIND_DONE
	kindFailed        = controlpb.TaskEventKind_TASK_EVENT_KIND_FAILED
	kindEvicted       = controlpb.TaskEventKind_TASK_EVENT_KIND_EVICTED
	kindCancelled     = controlpb.TaskEventKind_TASK_EVENT_KIND_CANCELLED
	kindReturned      = controlpb.TaskEventKind_TASK_EVENT_KIND_RETURNED
	kindRejected      = controlpb.TaskEventKind_TASK_EVENT_KIND_REJECTED
	kindAttemptFailed = controlpb.TaskEventKind_TASK_EVENT_KIND_ATTEMPT_FAILED
)

var allEventKinds = []controlpb.TaskEventKind{
	kindDone, kindFailed, kindEvicted, kindCancelled, kindReturned, kindRejected, kindAttemptFailed,
}

// attemptsByRelation holds attempts by their relation to the newest attempt of the
// task, which has epoch 2 and number 5. The task is bound under epoch 2; its domain
// has reached epoch 3.
var attemptsByRelation = map[string]*controlpb.Attempt{
	"older epoch":  attempt(1, 9),
	"older number": attempt(2, 4),
	"same":         attempt(2, 5),
	"newer number": attempt(2, 6),
	"newer epoch":  attempt(3, 1),
	"future epoch": attempt(4, 1),
}

// taskSetup describes a state of task t1, which build brings about.
type taskSetup struct {
	name  string
	state controlpb.TaskState
	// endEvent is the event that ended attempt 2/5, or 0 if the attempt is open.
	endEvent        controlpb.TaskEventKind
	cancelRequested bool
}

var taskSetups = []taskSetup{
	{name: "pending", state: taskPending},
	{name: "bound", state: taskBound},
	{name: "bound, evicted", state: taskBound, endEvent: kindEvicted},
	{name: "bound, attempt failed", state: taskBound, endEvent: kindAttemptFailed},
	{name: "bound, cancellation requested", state: taskBound, cancelRequested: true},
	{name: "done", state: taskDone, endEvent: kindDone},
	{name: "failed", state: taskFailed, endEvent: kindFailed},
	{name: "cancelled", state: taskCancelled, endEvent: kindCancelled, cancelRequested: true},
	{name: "rejected", state: taskRejected, endEvent: kindRejected},
}

func (s taskSetup) build() driver {
	d := driver{New()}
	d.mustApply(submitCommand("k"))
	d.mustApply(appointCommand("a", 0, "s"))
	d.mustApply(appointCommand("a", 1, "s"))
	if s.state == taskPending {
		d.mustApply(appointCommand("a", 2, "s"))
		return d
	}
	d.mustApply(bindCommand("t1", "a", 2))
	d.mustApply(reportCommand("a", "s", 2, "t1", kindAttemptFailed, attempt(2, 4)))
	if s.cancelRequested {
		d.mustApply(cancelCommand("t1"))
	}
	// Ends attempt 2/5 if there is an event for it. Otherwise sets it in the record,
	// since no report makes an open attempt known.
	if s.endEvent != 0 {
		d.mustApply(reportCommand("a", "s", 2, "t1", s.endEvent, attempt(2, 5)))
	} else {
		r := d.m.tasks.byID["t1"]
		after := copyTaskRecord(r)
		after.Task.Attempt, after.LastEvent = attempt(2, 5), 0
		d.m.tasks.replace(r, after)
	}
	d.mustApply(appointCommand("a", 2, "s"))
	return d
}

// expectedResult returns whether an event must be recorded, and the resulting state.
// It does not use the tables of the implementation.
func (s taskSetup) expectedResult(kind controlpb.TaskEventKind, relation string) (bool, controlpb.TaskState) {
	if relation == "same" && s.endEvent == kind {
		return true, s.state
	}
	if s.rejectsEvent(kind, relation) {
		return false, s.state
	}
	if s.cancelRequested && kind == kindReturned {
		return true, taskCancelled
	}
	return true, map[controlpb.TaskEventKind]controlpb.TaskState{
		kindDone: taskDone, kindFailed: taskFailed, kindEvicted: taskBound, kindCancelled: taskCancelled,
		kindReturned: taskPending, kindRejected: taskRejected, kindAttemptFailed: taskBound,
	}[kind]
}

func (s taskSetup) rejectsEvent(kind controlpb.TaskEventKind, relation string) bool {
	if s.state != taskBound || (kind == kindCancelled && !s.cancelRequested) {
		return true
	}
	if relation != "same" {
		return relation == "older epoch" || relation == "older number" || relation == "future epoch"
	}
	isEndEvent := kind == kindDone || kind == kindFailed || kind == kindEvicted || kind == kindAttemptFailed
	return s.endEvent != 0 && isEndEvent && (s.endEvent != kindAttemptFailed || kind != kindFailed)
}

// sendEvent reports an event for task t1 and returns whether it is recorded.
func sendEvent(d driver, kind controlpb.TaskEventKind, a *controlpb.Attempt) bool {
	resp := d.mustApply(reportCommand("a", "s", 3, "t1", kind, a)).(*controlpb.ReportTasksResponse)
	return len(resp.GetStale()) == 0
}

var _ = Describe("task transitions", func() {
	// Guards against an event that changes a task although it must not. Covers every
	// event in every state with every relation of the attempts.
	It("are as expected for every event in every state", func() {
		for _, s := range taskSetups {
			for _, kind := range allEventKinds {
				for relation, a := range attemptsByRelation {
					scenario := fmt.Sprintf("%s, event %v, %s attempt", s.name, kind, relation)
					d := s.build()
					recorded, state := s.expectedResult(kind, relation)
					Expect(sendEvent(d, kind, a)).To(Equal(recorded), scenario)
					task, _ := d.m.Task("t1")
					Expect(task.GetState()).To(Equal(state), scenario)
					Expect(sendEvent(d, kind, a)).To(Equal(recorded), scenario+", repeated")
					again, _ := d.m.Task("t1")
					Expect(again).To(BeIdenticalTo(task), scenario+": the repeated event changed the record")
				}
			}
		}
	})

	// Guards against two outcomes of one task when events are duplicated and
	// reordered. Covers every sequence of three events over two attempts.
	It("keep the first outcome in every order of events", func() {
		type step struct {
			kind controlpb.TaskEventKind
			a    *controlpb.Attempt
		}
		var steps []step
		for _, kind := range allEventKinds {
			steps = append(steps, step{kind, attempt(2, 5)}, step{kind, attempt(3, 1)})
		}
		for _, first := range steps {
			for _, second := range steps {
				for _, third := range steps {
					d := taskSetups[4].build()
					var outcome *controlpb.Task
					for _, s := range []step{first, second, third} {
						sendEvent(d, s.kind, s.a)
						task, _ := d.m.Task("t1")
						if outcome != nil {
							Expect(task).To(BeIdenticalTo(outcome), fmt.Sprint(first, second, third))
						}
						if Ended(task) {
							outcome = task
						}
					}
				}
			}
		}
	})

	// Guards against a delayed duplicate of a RETURNED event that unbinds a task
	// after it was bound to the same domain again, where it may be running.
	It("reject a delayed RETURNED event of an earlier binding", func() {
		d := taskSetups[1].build()
		Expect(sendEvent(d, kindReturned, attempt(2, 5))).To(BeTrue())
		d.mustApply(bindCommand("t1", "a", 3))
		Expect(sendEvent(d, kindReturned, attempt(2, 5))).To(BeFalse())
		task, _ := d.m.Task("t1")
		Expect(task.GetState()).To(Equal(taskBound))
		Expect(task.GetAttempt().GetNumber()).To(Equal(uint64(6)))
	})

	// Guards against outcomes reported by a former active scheduler.
	It("reject reports of another epoch or scheduler", func() {
		d := taskSetups[1].build()
		for _, c := range []struct {
			scheduler string
			epoch     uint64
		}{{"s", 2}, {"other", 3}, {"s", 4}, {"", 3}} {
			_, err := d.apply(reportCommand("a", c.scheduler, c.epoch, "t1", kindDone, attempt(2, 5)))
			var refusal *Refusal
			Expect(errors.As(err, &refusal)).To(BeTrue())
			Expect(refusal.Kind).To(Equal(KindStaleEpoch))
		}
	})

	// Guards against a domain that ends a task that is bound to another domain.
	It("reject events of another domain", func() {
		d := taskSetups[1].build()
		for epoch := range uint64(3) {
			d.mustApply(appointCommand("b", epoch, "s"))
		}
		for _, kind := range allEventKinds {
			resp := d.mustApply(reportCommand("b", "s", 3, "t1", kind, attempt(3, 9))).(*controlpb.ReportTasksResponse)
			Expect(resp.GetStale()).To(Equal([]string{"t1"}))
		}
	})

	// Guards against a task that is bound again although its cancellation was
	// requested.
	It("cancel a task with a requested cancellation when its domain expires", func() {
		d := taskSetups[4].build()
		d.mustApply(expireCommand("a", 3))
		task, _ := d.m.Task("t1")
		Expect(task.GetState()).To(Equal(taskCancelled))
	})
})
