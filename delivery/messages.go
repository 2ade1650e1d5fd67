// Package delivery distributes the orders of the job leader over the other replicas,
// called carriers, which call the workers and report the replies. Calls to workers
// take most of the leader's CPU time in a large fleet. All decisions stay with the
// leader.
package delivery

import (
	"slices"
	"time"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch"
	"geraniumwall/rpc/deliverypb"
)

func encodeTask(k jobs.TaskKey, attempt int) *deliverypb.Task {
	//nolint:gosec // limited by the maximum number of tasks of a job
	return &deliverypb.Task{
		Job: k.Job, Occurrence: int32(k.Occurrence), Step: int32(k.Step), Index: int32(k.Index), Attempt: int32(attempt),
	}
}

func decodeTask(t *deliverypb.Task) jobs.TaskKey {
	return jobs.TaskKey{Job: t.GetJob(), Occurrence: int(t.GetOccurrence()), Step: int(t.GetStep()), Index: int(t.GetIndex())}
}

func encodeOrder(id uint64, o *dispatch.Order) *deliverypb.Order {
	p := &deliverypb.Order{Id: id, Worker: o.To.Worker, Address: o.To.HostPort, Fence: o.Fence}
	switch {
	case o.Start != nil:
		p.Kind = &deliverypb.Order_Start{Start: &deliverypb.Start{
			Task: encodeTask(o.Start.Task, o.Start.Attempt), Payload: o.Start.Payload, Deadline: o.Start.Deadline, Checkpoint: o.Start.Checkpoint,
		}}
	case o.Stop != nil:
		p.Kind = &deliverypb.Order_Stop{Stop: encodeTask(o.Stop.Task, o.Stop.Attempt)}
	case o.Hold != nil:
		p.Kind = &deliverypb.Order_Hold{Hold: &deliverypb.Hold{
			Deadline: o.Hold.Deadline, LastSeen: o.Hold.AckThrough, Wait: o.Hold.MaxWait.Milliseconds(),
		}}
	case o.Pace != nil:
		p.Kind = &deliverypb.Order_Pace{Pace: &deliverypb.Pace{
			Task: encodeTask(o.Pace.Task, o.Pace.Attempt), Percent: int32(o.Pace.Percent), //nolint:gosec // 0 to 100
		}}
	}
	return p
}

// decodeOrder returns false if the kind of the order is unknown.
func decodeOrder(p *deliverypb.Order) (dispatch.Order, bool) {
	o := dispatch.Order{To: dispatch.Address{Worker: p.GetWorker(), HostPort: p.GetAddress()}, Fence: p.GetFence()}
	switch k := p.GetKind().(type) {
	case *deliverypb.Order_Start:
		s := k.Start
		o.Start = &dispatch.Start{
			Task: decodeTask(s.GetTask()), Attempt: int(s.GetTask().GetAttempt()), Payload: s.GetPayload(),
			Deadline: s.GetDeadline(), Checkpoint: s.GetCheckpoint(),
		}
	case *deliverypb.Order_Stop:
		o.Stop = &dispatch.Stop{Task: decodeTask(k.Stop), Attempt: int(k.Stop.GetAttempt())}
	case *deliverypb.Order_Hold:
		o.Hold = &dispatch.Hold{
			Deadline: k.Hold.GetDeadline(), AckThrough: k.Hold.GetLastSeen(), MaxWait: time.Duration(k.Hold.GetWait()) * time.Millisecond,
		}
	case *deliverypb.Order_Pace:
		o.Pace = &dispatch.Pace{
			Task: decodeTask(k.Pace.GetTask()), Attempt: int(k.Pace.GetTask().GetAttempt()), Percent: int(k.Pace.GetPercent()),
		}
	default:
		return o, false
	}
	return o, true
}

func encodeReply(id uint64, r *dispatch.Reply) *deliverypb.Reply {
	//nolint:gosec // statuses and row counts are small
	p := &deliverypb.Reply{
		Id: id, Verdict: int32(r.Status), Reason: r.Reason, Clock: r.ClockMS, Born: r.StartedAtMS, Malformed: int32(r.Malformed),
	}
	for i := range r.Running {
		t := &r.Running[i]
		p.Running = append(p.Running, &deliverypb.Running{
			Task: encodeTask(t.Task, t.Attempt), Checkpoint: t.Checkpoint, Percent: int32(t.Percent), Usage: t.Usage, //nolint:gosec // 0 to 100
		})
	}
	for i := range r.Finished {
		f := &r.Finished[i]
		p.Finished = append(p.Finished, &deliverypb.Finished{
			Number: f.Number, Task: encodeTask(f.Task, f.Attempt), Outcome: string(f.Outcome), Checkpoint: f.Checkpoint,
		})
	}
	return p
}

// ReportedReply is a reply that a carrier has reported.
type ReportedReply struct {
	// id is the id of the order.
	id    uint64
	reply dispatch.Reply
}

// DecodeReplies decodes a report for Sender.HandleReplies. It needs no state, so it can run
// outside the control thread.
func DecodeReplies(report []*deliverypb.Reply) []ReportedReply {
	replies := make([]ReportedReply, len(report))
	for i, p := range report {
		replies[i] = ReportedReply{p.GetId(), decodeReply(p)}
	}
	return replies
}

// decodeReply returns the reply without Order, SentAt and ReceivedAt.
func decodeReply(p *deliverypb.Reply) dispatch.Reply {
	r := dispatch.Reply{
		Status: dispatch.ReplyStatus(p.GetVerdict()), Reason: p.GetReason(), ClockMS: p.GetClock(), StartedAtMS: p.GetBorn(),
		Malformed: int(p.GetMalformed()),
	}
	r.Running = slices.Grow(r.Running, len(p.GetRunning()))
	for _, t := range p.GetRunning() {
		r.Running = append(r.Running, dispatch.RunningTask{
			Task: decodeTask(t.GetTask()), Attempt: int(t.GetTask().GetAttempt()), Checkpoint: t.GetCheckpoint(),
			Percent: int(t.GetPercent()), Usage: t.GetUsage(),
		})
	}
	for _, f := range p.GetFinished() {
		r.Finished = append(r.Finished, dispatch.FinishedTask{
			Number: f.GetNumber(), Task: decodeTask(f.GetTask()), Attempt: int(f.GetTask().GetAttempt()),
			Outcome: jobs.Outcome(f.GetOutcome()), Checkpoint: f.GetCheckpoint(),
		})
	}
	return r
}
