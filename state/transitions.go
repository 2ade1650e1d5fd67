package state

import "geraniumwall/rpc/controlpb"

// Short names of the task states.
const (
	pending   = controlpb.TaskState_TASK_STATE_PENDING
	bound     = controlpb.TaskState_TASK_STATE_BOUND
	done      = controlpb.TaskState_TASK_STATE_DONE
	failed    = controlpb.TaskState_TASK_STATE_FAILED
	cancelled = controlpb.TaskState_TASK_STATE_CANCELLED
	rejected  = controlpb.TaskState_TASK_STATE_REJECTED
)

// event is what can happen to a task.
type event int

const (
	eventBind event = iota + 1
	// eventCancel is a caller's request, eventCancelled the confirmed stop.
	eventCancel
	eventDomainOver
	eventDone
	eventFailed
	eventEvicted
	eventCancelled
	eventReturned
	eventRejected
	eventAttemptFailed
)

// transitions is the only definition of the task states. A pair that is missing
// is not possible and leaves the task as it is.
var transitions = map[controlpb.TaskState]map[event]controlpb.TaskState{
	pending: {
		eventBind:     bound,
		eventCancel:   cancelled,
		eventRejected: rejected,
	},
	bound: {
		eventCancel:        bound,
		eventDomainOver:    pending,
		eventDone:          done,
		eventFailed:        failed,
		eventEvicted:       bound,
		eventCancelled:     cancelled,
		eventReturned:      pending,
		eventRejected:      rejected,
		eventAttemptFailed: bound,
	},
	done:      {},
	failed:    {},
	cancelled: {},
	rejected:  {},
}

var eventOfKind = map[controlpb.TaskEventKind]event{
	controlpb.TaskEventKind_TASK_EVENT_KIND_DONE:           eventDone,
	controlpb.TaskEventKind_TASK_EVENT_KIND_FAILED:         eventFailed,
	controlpb.TaskEventKind_TASK_EVENT_KIND_EVICTED:        eventEvicted,
	controlpb.TaskEventKind_TASK_EVENT_KIND_CANCELLED:      eventCancelled,
	controlpb.TaskEventKind_TASK_EVENT_KIND_RETURNED:       eventReturned,
	controlpb.TaskEventKind_TASK_EVENT_KIND_REJECTED:       eventRejected,
	controlpb.TaskEventKind_TASK_EVENT_KIND_ATTEMPT_FAILED: eventAttemptFailed,
}

// closesAttempt tells which events are the end of an attempt.
var closesAttempt = map[event]bool{
	eventDone:          true,
	eventFailed:        true,
	eventEvicted:       true,
	eventAttemptFailed: true,
}

// next returns the state of task t after e. A task that is to be cancelled and
// certainly runs nowhere is cancelled instead of becoming pending again.
func next(t *controlpb.Task, e event) (controlpb.TaskState, bool) {
	if t.GetCancelRequested() && (e == eventReturned || e == eventDomainOver) {
		e = eventCancelled
	}
	if e == eventCancelled && !t.GetCancelRequested() {
		return t.GetState(), false
	}
	s, ok := transitions[t.GetState()][e]
	return s, ok
}

func ended(s controlpb.TaskState) bool { return s != pending && s != bound }

// older reports whether a is older than b.
func older(a, b *controlpb.Attempt) bool {
	if a.GetEpoch() != b.GetEpoch() {
		return a.GetEpoch() < b.GetEpoch()
	}
	return a.GetNumber() < b.GetNumber()
}

func sameAttempt(a, b *controlpb.Attempt) bool {
	return a.GetEpoch() == b.GetEpoch() && a.GetNumber() == b.GetNumber()
}

// Ended reports whether the task has its outcome.
func Ended(t *controlpb.Task) bool { return ended(t.GetState()) }
