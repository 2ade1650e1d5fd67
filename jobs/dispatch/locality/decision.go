// Package locality decides whether a task waits for a place where it runs faster, such as
// the rack of its data, or starts at a slower place at once. It holds no state and reads no
// clock: all times are relative to the present.
package locality

import (
	"fmt"
	"time"
)

// MinGain is the time that the preferred place has to save at least for a task to wait. It
// covers the delays of a wait that the inputs do not contain: the report of an end, the time
// between two plans and the commit of the binding.
const MinGain = 100 * time.Millisecond

// Reason is why a task waits or starts elsewhere.
type Reason string

// Reasons of a decision. Only WorthWaiting makes a task wait.
const (
	// WorthWaiting: the task is expected to end sooner at the preferred place.
	WorthWaiting Reason = "ends sooner at the preferred place"
	// SmallGain: the preferred place saves less than MinGain, or the duration is not known.
	SmallGain Reason = "the preferred place saves too little"
	// NoRoomExpected: no end of a task is known after which the preferred place has room.
	NoRoomExpected Reason = "no room is expected at the preferred place"
	// PlaceRefuses: the preferred place has room, but does not accept the task.
	PlaceRefuses Reason = "the preferred place does not accept the task"
	// LaterThere: the task is expected to end later at the preferred place.
	LaterThere Reason = "ends later at the preferred place"
	// OthersNeedPlace: the task would end sooner at the preferred place, but other tasks would
	// lose more there than it gains.
	OthersNeedPlace Reason = "other tasks need the preferred place"
	// LimitReached: the task has waited for as long as the preferred place saves.
	LimitReached Reason = "has waited for as long as the preferred place saves"
	// ObjectiveMissed: the task would miss the objective of its job after the wait.
	ObjectiveMissed Reason = "would miss its objective after the wait"
)

// Input describes a task or a gang for which a slower place has room now, and the preferred
// place has none.
type Input struct {
	// Duration is the expected duration at the preferred place, 0 if it is not known.
	Duration time.Duration
	// Slowdown is the ratio of the duration elsewhere to Duration.
	Slowdown float64
	// Room is when the preferred place is expected to have room. It is 0 if it has room
	// already, so that something else keeps the task from it. RoomExpected is false if no
	// such time is known.
	Room         time.Duration
	RoomExpected bool
	// Demand is the share of its room for short tasks that the preferred place has in use on
	// average, from 0 to 1.
	Demand float64
	// Waited is the time for which the task could have run already.
	Waited time.Duration
	// Deadline is when the task has to end for its job to meet the objective. It is negative
	// for a job that is late.
	Deadline time.Duration
}

// Decision is the result of Decide.
type Decision struct {
	Wait   bool
	Reason Reason
	// Gain is the time that the preferred place saves once the task runs there.
	Gain time.Duration
}

// Gain returns the time that a task saves by running at the preferred place.
func (in Input) Gain() time.Duration {
	return time.Duration(float64(in.Duration) * max(0, in.Slowdown-1))
}

// Decide compares the expected end at the preferred place with the expected end elsewhere.
// Without RoomExpected it returns NoRoomExpected only if a wait can be worthwhile, so that
// callers need not find out about the room of other tasks.
//
// A task that waits takes room that later tasks with the same preference would have got. They
// lose what this one gains, with the probability Demand, and their own waits pass the delay on
// while the place is busy. Therefore the wait has to be shorter than the gain times
// (1 - Demand) squared. At a place that is always full nobody waits: waits do not make it do
// more work. Without the square, jobs at an overloaded place end later than without waits.
//
// The limit of the total wait is what the preferred place saves. The expected room may stay
// wrong for ever; with this limit a task takes less than twice as long as without a wait.
func Decide(in Input) Decision {
	gain := in.Gain()
	reason := in.reason(gain)
	return Decision{Wait: reason == WorthWaiting, Reason: reason, Gain: gain}
}

func (in Input) reason(gain time.Duration) Reason {
	switch {
	case gain < MinGain:
		return SmallGain
	case in.Waited >= gain:
		return LimitReached
	case in.Duration > in.Deadline:
		return ObjectiveMissed
	case !in.RoomExpected:
		return NoRoomExpected
	case in.Room <= 0:
		return PlaceRefuses
	case in.Room >= gain:
		return LaterThere
	case float64(in.Room) >= (1-in.Demand)*(1-in.Demand)*float64(gain):
		return OthersNeedPlace
	case in.Room+in.Duration > in.Deadline:
		return ObjectiveMissed
	}
	return WorthWaiting
}

// String formats the inputs for logs.
func (in Input) String() string {
	room := "none"
	if in.RoomExpected {
		room = in.Room.Round(time.Millisecond).String()
	}
	return fmt.Sprintf("duration %v, slowdown %g, room %s, demand %.2f, waited %v, deadline %v",
		in.Duration, in.Slowdown, room, in.Demand, in.Waited, in.Deadline)
}
