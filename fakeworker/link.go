package fakeworker

import (
	"time"

	"geraniumwall/workerapi"
	"geraniumwall/workerapi/delta"
)

// maxHeartbeatInterval bounds what a scheduler may ask for.
const maxHeartbeatInterval = 5 * time.Second

// link is the exchange of heartbeats with one scheduler. The lock of the worker
// guards everything but address and wake.
type link struct {
	address string
	wake    chan struct{}
	sender  *delta.Sender
	// identity is of the scheduler that answered last, empty before.
	identity string
	interval time.Duration
}

func newLink(address string) *link {
	return &link{
		address: address, wake: make(chan struct{}, 1),
		sender: delta.NewSender(), interval: workerapi.FirstInterval,
	}
}

// standsBy reports whether another scheduler than that of the link holds the tasks.
func (l *link) standsBy(taskHolder string) bool {
	return l.sender.Compact() && taskHolder != "" && l.identity != taskHolder
}

func (l *link) failed(sequence uint64) {
	l.sender.Failed(sequence)
	l.interval = workerapi.FirstInterval
}

func (l *link) answered(sequence uint64, answer *workerapi.HeartbeatAnswer) {
	l.sender.Answered(sequence, answer)
	if answer.SendWhole {
		l.nudge()
		return
	}
	l.identity, l.interval = answer.Scheduler, workerapi.FirstInterval
	if l.sender.Compact() {
		l.interval = workerapi.HeartbeatInterval
	}
	if answer.IntervalMS > 0 {
		asked := time.Duration(answer.IntervalMS) * time.Millisecond
		l.interval = min(max(asked, heartbeatGap), maxHeartbeatInterval)
	}
}

// nudge sends the next heartbeat soon.
func (l *link) nudge() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
