package schedulerd

import (
	"context"
	"errors"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"geraniumwall/scheduler"
)

// errUnavailable is returned for a step that the owner did not take before its
// caller gave up.
var errUnavailable = errors.New("the scheduler is overloaded or stops; retry")

// coreCall is a message to the owner: one event of the core.
type coreCall struct {
	run  func(now time.Duration, core *scheduler.Core)
	done chan struct{}
}

// coreActor is the actor that owns the core. Actions are handed to perform in the
// order in which the core queued them.
type coreActor struct {
	core    *scheduler.Core
	clock   clock
	perform func(scheduler.Action)
	// idle is set while the next tick is RestInterval away; wake receives once
	// an event asks for an earlier one.
	idle bool
	wake chan struct{}
}

// Receive steps the core.
func (c *coreActor) Receive(ctx actor.Context) {
	call, ok := ctx.Message().(*coreCall)
	if !ok {
		return
	}
	call.run(c.clock.now(), c.core)
	for _, a := range c.core.TakeActions() {
		c.perform(a)
	}
	if c.idle && !c.core.AtRest(c.clock.now()) {
		c.idle = false
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
	close(call.done)
}

// tick steps the time and sets how long the next tick may wait.
func (c *coreActor) tick(now time.Duration, core *scheduler.Core) {
	core.Tick(now)
	c.idle = core.AtRest(now)
}

// runTicks ticks while ctx lasts, every RestInterval at rest. An event that ends the
// rest is followed by a tick at once, but TickInterval after the last one.
func (c *coreActor) runTicks(ctx context.Context, core *coreRef) {
	idle := false
	for {
		lastTick := time.Now()
		if idle {
			c.waitWhileIdle(ctx)
		}
		sleep(ctx, scheduler.TickInterval-time.Since(lastTick))
		if ctx.Err() != nil {
			return
		}
		// Waiting for the step keeps ticks from queuing up behind a slow one.
		<-core.send(func(now time.Duration, core *scheduler.Core) {
			c.tick(now, core)
			idle = c.idle
		})
	}
}

// waitWhileIdle waits for the end of the rest.
func (c *coreActor) waitWhileIdle(ctx context.Context) {
	timer := time.NewTimer(scheduler.RestInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c.wake:
	case <-timer.C:
	}
}

// clock is the monotonic time since the start of the process.
type clock struct{ start time.Time }

func (c clock) now() time.Duration { return time.Since(c.start) }

// wall converts a time of the clock to wall-clock time, for people.
func (c clock) wall(d time.Duration) time.Time { return c.start.Add(d) }

// coreRef sends steps to the owner.
type coreRef struct {
	system *actor.ActorSystem
	pid    *actor.PID
	clock  clock
}

func spawnCore(a *coreActor) *coreRef {
	system := actor.NewActorSystem()
	// A broken invariant must end the process, so no supervisor may restart the
	// owner with its state as it is.
	props := actor.PropsFromProducer(func() actor.Actor { return a },
		actor.WithReceiverMiddleware(endOnPanic))
	return &coreRef{system: system, pid: system.Root.Spawn(props), clock: a.clock}
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
func (r *coreRef) send(run func(now time.Duration, core *scheduler.Core)) <-chan struct{} {
	call := &coreCall{run: run, done: make(chan struct{})}
	r.system.Root.Send(r.pid, call)
	return call.done
}

// call takes a step and waits for it. After an error the step may still happen.
func (r *coreRef) call(ctx context.Context, run func(now time.Duration, core *scheduler.Core)) error {
	select {
	case <-r.send(run):
		return nil
	case <-ctx.Done():
		return errUnavailable
	}
}

func (r *coreRef) stop() { _ = r.system.Root.StopFuture(r.pid).Wait() }
