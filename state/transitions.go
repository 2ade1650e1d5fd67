package state

import "geraniumwall/rpc/controlpb"

// Short names of the task states.
const (
	taskPending   = controlpb.TaskState_TASK_STATE_PENDING
	taskBound     = controlpb.TaskState_TASK_STATE_BOUND
	taskDone      = controlpb.TaskState_TASK_STATE_DONE
	taskFailed    = controlpb.TaskState_TASK_STATE_FAILED
	taskCancelled = controlpb.TaskState_TASK_STATE_CANCELLED
	taskRejected  = controlpb.TaskState_TASK_STATE_REJECTED
)

// event is an input to the state machine of a task.
type event int

const (
	eventBind event = iota + 1
	// eventCancel is the request to cancel a task; eventCancelled confirms that it
	// has stopped.
	eventCancel
	eventDomainExpired
	eventDone
	eventFailed
	eventEvicted
	eventCancelled
	eventReturned
	eventRejected
	eventAttemptFailed
)

// transitions is the only definition of the task state machine. An event that has no
// entry for the current state is not accepted and leaves the task unchanged.
var transitions = map[controlpb.TaskState]map[event]controlpb.TaskState{
	taskPending: {
		eventBind:     taskBound,
		eventCancel:   taskCancelled,
		eventRejected: taskRejected,
	},
	taskBound: {
		eventCancel:        taskBound,
		eventDomainExpired: taskPending,
		eventDone:          taskDone,
		eventFailed:        taskFailed,
		eventEvicted:       taskBound,
		eventCancelled:     taskCancelled,
		eventReturned:      taskPending,
		eventRejected:      taskRejected,
		eventAttemptFailed: taskBound,
	},
	taskDone:      {},
	taskFailed:    {},
	taskCancelled: {},
	taskRejected:  {},
}

var eventByKind = map[controlpb.TaskEventKind]event{
	controlpb.TaskEventKind_TASK_EVENT_KIND_DONE:           eventDone,
	controlpb.TaskEventKind_TASK_EVENT_KIND_FAILED:         eventFailed,
	controlpb.TaskEventKind_TASK_EVENT_KIND_EVICTED:        eventEvicted,
	controlpb.TaskEventKind_TASK_EVENT_KIND_CANCELLED:      eventCancelled,
	controlpb.TaskEventKind_TASK_EVENT_KIND_RETURNED:       eventReturned,
	controlpb.TaskEventKind_TASK_EVENT_KIND_REJECTED:       eventRejected,
	controlpb.TaskEventKind_TASK_EVENT_KIND_ATTEMPT_FAILED: eventAttemptFailed,
}

// endsAttempt lists the events that end an attempt.
var endsAttempt = map[event]bool{
	eventDone:          true,
	eventFailed:        true,
	eventEvicted:       true,
	eventAttemptFailed: true,
}

// nextState returns the state of task t after event e, and whether t accepts e. A
// task whose cancellation was requested, and that is known not to be running
// anywhere, becomes cancelled instead of pending. A task whose cancellation was not
// requested does not accept eventCancelled.
func nextState(t *controlpb.Task, e event) (controlpb.TaskState, bool) {
	if t.GetCancelRequested() && (e == eventReturned || e == eventDomainExpired) {
		e = eventCancelled
	}
	if e == eventCancelled && !t.GetCancelRequested() {
		return t.GetState(), false
	}
	s, ok := transitions[t.GetState()][e]
	return s, ok
}

func isTerminal(s controlpb.TaskState) bool { return s != taskPending && s != taskBound }

// isOlderAttempt reports whether attempt a is older than attempt b.
func isOlderAttempt(a, b *controlpb.Attempt) bool {
	if a.GetEpoch() != b.GetEpoch() {
		return a.GetEpoch() < b.GetEpoch()
	}
	return a.GetNumber() < b.GetNumber()
}

func sameAttempt(a, b *controlpb.Attempt) bool {
	return a.GetEpoch() == b.GetEpoch() && a.GetNumber() == b.GetNumber()
}

// Ended reports whether the task is in a terminal state.
func Ended(t *controlpb.Task) bool { return isTerminal(t.GetState()) }
