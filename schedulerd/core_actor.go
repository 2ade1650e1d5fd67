package schedulerd

import (
	"context"
	"errors"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"geraniumwall/scheduler"
)

// errStopped is returned for a step that the owner did not take before its
// caller gave up.
var errStopped = errors.New("the scheduler is overloaded or stops; retry")

// step is a message to the owner: one event of the core.
type step struct {
	run  func(now time.Duration, core *scheduler.Core)
	done chan struct{}
}

// owner is the actor that owns the core. Actions are handed to perform in the
// order in which the core queued them.
type owner struct {
	core    *scheduler.Core
	clock   clock
	perform func(scheduler.Action)
	// resting is set while the next tick is RestInterval away; roused receives once
	// an event asks for an earlier one.
	resting bool
	roused  chan struct{}
}

// Receive steps the core.
func (o *owner) Receive(ctx actor.Context) {
	s, isStep := ctx.Message().(*step)
	if !isStep {
		return
	}
	s.run(o.clock.now(), o.core)
	for _, a := range o.core.TakeActions() {
		o.perform(a)
	}
	if o.resting && !o.core.AtRest(o.clock.now()) {
		o.resting = false
		select {
		case o.roused <- struct{}{}:
		default:
		}
	}
	close(s.done)
}

// tick steps the time and sets how long the next tick may wait.
func (o *owner) tick(now time.Duration, core *scheduler.Core) {
	core.Tick(now)
	o.resting = core.AtRest(now)
}

// tickEvery ticks while ctx lasts, every RestInterval at rest. An event that ends the
// rest is followed by a tick at once, but TickInterval after the last one.
func (o *owner) tickEvery(ctx context.Context, l *loop) {
	resting := false
	for {
		last := time.Now()
		if resting {
			o.rest(ctx)
		}
		wait(ctx, scheduler.TickInterval-time.Since(last))
		if ctx.Err() != nil {
			return
		}
		// Waiting for the step keeps ticks from queuing up behind a slow one.
		<-l.send(func(now time.Duration, core *scheduler.Core) {
			o.tick(now, core)
			resting = o.resting
		})
	}
}

// rest waits for the end of the rest.
func (o *owner) rest(ctx context.Context) {
	timer := time.NewTimer(scheduler.RestInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-o.roused:
	case <-timer.C:
	}
}

// clock is the monotonic time since the start of the process.
type clock struct{ start time.Time }

func (c clock) now() time.Duration { return time.Since(c.start) }

// wall converts a time of the clock to wall-clock time, for people.
func (c clock) wall(d time.Duration) time.Time { return c.start.Add(d) }

// loop sends steps to the owner.
type loop struct {
	system *actor.ActorSystem
	pid    *actor.PID
	clock  clock
}

func newLoop(o *owner) *loop {
	system := actor.NewActorSystem()
	// A broken invariant must end the process, so no supervisor may restart the
	// owner with its state as it is.
	props := actor.PropsFromProducer(func() actor.Actor { return o },
		actor.WithReceiverMiddleware(endOnPanic))
	return &loop{system: system, pid: system.Root.Spawn(props), clock: o.clock}
}

// endOnPanic turns a panic of the owner into the end of the process: the actor
// library would otherwise recover it.
func endOnPanic(next actor.ReceiverFunc) actor.ReceiverFunc {
	return func(c actor.ReceiverContext, envelope *actor.MessageEnvelope) {
		defer func() {
			if r := recover(); r != nil {
				go func() { panic(r) }()
				select {}
			}
		}()
		next(c, envelope)
	}
}

// send hands a step to the owner without waiting.
func (l *loop) send(run func(now time.Duration, core *scheduler.Core)) <-chan struct{} {
	s := &step{run: run, done: make(chan struct{})}
	l.system.Root.Send(l.pid, s)
	return s.done
}

// do takes a step and waits for it. After an error the step may still happen.
func (l *loop) do(ctx context.Context, run func(now time.Duration, core *scheduler.Core)) error {
	select {
	case <-l.send(run):
		return nil
	case <-ctx.Done():
		return errStopped
	}
}

func (l *loop) stop() { _ = l.system.Root.StopFuture(l.pid).Wait() }
