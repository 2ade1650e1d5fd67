package schedulerd

import (
	"context"
	"errors"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"geraniumwall/scheduler"
)

// errUnavailable is returned when the core actor has not completed a call before
// the caller's context ended.
var errUnavailable = errors.New("the scheduler is overloaded or stops; retry")

// coreCall is a message to the core actor: a function to run on the core. done is
// closed after it has run.
type coreCall struct {
	run  func(now time.Duration, core *scheduler.Core)
	done chan struct{}
}

// coreActor is the actor that owns the core and serializes access to it. It passes
// the core's actions to perform in the order in which they were queued.
type coreActor struct {
	core    *scheduler.Core
	clock   clock
	perform func(scheduler.Action)
	// idle is set while the next tick is RestInterval away. wake receives a value when
	// an event requires an earlier tick.
	idle bool
	wake chan struct{}
}

// Receive runs a call on the core and performs the resulting actions.
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

// tick advances the core to the current time and updates idle.
func (c *coreActor) tick(now time.Duration, core *scheduler.Core) {
	core.Tick(now)
	c.idle = core.AtRest(now)
}

// runTicks ticks the core until ctx is done, every TickInterval or, while the core is
// idle, every RestInterval. An event that ends the idle state triggers a tick at once,
// but no earlier than TickInterval after the last one.
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
		// Waiting for the call keeps ticks from queuing up behind a slow one.
		<-core.send(func(now time.Duration, core *scheduler.Core) {
			c.tick(now, core)
			idle = c.idle
		})
	}
}

// waitWhileIdle waits until an event requires a tick, at most for RestInterval.
func (c *coreActor) waitWhileIdle(ctx context.Context) {
	timer := time.NewTimer(scheduler.RestInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c.wake:
	case <-timer.C:
	}
}

// clock measures the monotonic time since the start of the process.
type clock struct{ start time.Time }

func (c clock) now() time.Duration { return time.Since(c.start) }

// wall converts a time of the clock to wall-clock time, for display only.
func (c clock) wall(d time.Duration) time.Time { return c.start.Add(d) }

// coreRef sends calls to the core actor.
type coreRef struct {
	system *actor.ActorSystem
	pid    *actor.PID
	clock  clock
}

func spawnCore(a *coreActor) *coreRef {
	system := actor.NewActorSystem()
	// A broken invariant must end the process. A supervisor would restart the actor
	// with its state unchanged.
	props := actor.PropsFromProducer(func() actor.Actor { return a },
		actor.WithReceiverMiddleware(endOnPanic))
	return &coreRef{system: system, pid: system.Root.Spawn(props), clock: a.clock}
}

// endOnPanic makes a panic of the core actor end the process. The actor library would
// recover it, so the panic is raised again on a goroutine of its own.
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

// send queues a call without waiting for it. The returned channel is closed after the
// call has run.
func (r *coreRef) send(run func(now time.Duration, core *scheduler.Core)) <-chan struct{} {
	call := &coreCall{run: run, done: make(chan struct{})}
	r.system.Root.Send(r.pid, call)
	return call.done
}

// call queues a call and waits for it. After an error the call may still run.
func (r *coreRef) call(ctx context.Context, run func(now time.Duration, core *scheduler.Core)) error {
	select {
	case <-r.send(run):
		return nil
	case <-ctx.Done():
		return errUnavailable
	}
}

func (r *coreRef) stop() { _ = r.system.Root.StopFuture(r.pid).Wait() }
