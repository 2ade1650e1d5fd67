package fakeworker

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"geraniumwall/daemon"
	"geraniumwall/fakeworker/machine"
	"geraniumwall/rpc/protocol"
	"geraniumwall/transport"
	"geraniumwall/workerapi"
)

const (
	// quantum is the step of simulated work.
	quantum = 10 * time.Millisecond
	// grantsOver is the time after which no gateway holds a grant any more.
	grantsOver = 3060 * time.Millisecond
	// withdrawLimit bounds a planned stop; every task lease is over before.
	withdrawLimit = 15 * time.Second
)

// Worker is a running stand-in worker.
type Worker struct {
	settings    *Settings
	incarnation string
	boot        time.Time
	log         zerolog.Logger
	record      *recorder
	server      *daemon.Server
	http        *http.Client
	links       []*link

	mu       sync.Mutex
	machine  *machine.Machine
	draining time.Time
	meters   map[string]*meter
}

// admitted says which roles may call which path.
var admitted = transport.Rules{
	workerapi.PathAttach:     {transport.RoleScheduler},
	workerapi.PathStart:      {transport.RoleScheduler},
	workerapi.PathStop:       {transport.RoleScheduler},
	workerapi.PathThrottle:   {transport.RoleScheduler},
	workerapi.PathCheckpoint: {transport.RoleScheduler},
	workerapi.PathServe:      {transport.RoleGateway},
}

// New binds the address and opens the record file. Run starts to work.
func New(s *Settings, log zerolog.Logger) (*Worker, error) {
	record, err := openRecorder(s.RecordFile)
	if err != nil {
		return nil, err
	}
	keys, err := daemon.Keys(s.TLS, log)
	if err != nil {
		return nil, err
	}
	w := &Worker{
		settings: s, incarnation: uuid.NewString(), boot: time.Now(), log: log, record: record,
		http: transport.NewClient(transport.ClientOptions{
			Keys: keys, Peers: []transport.Role{transport.RoleScheduler}, SendPing: heartbeatPing,
		}),
		meters: map[string]*meter{},
	}
	for _, address := range s.Schedulers {
		w.links = append(w.links, newLink(address))
	}
	w.machine = machine.New(machine.Settings{
		Name: s.Name, Incarnation: w.incarnation, Capacity: s.Capacity, Slots: s.Slots,
	}, w.recordTask)
	w.server, err = daemon.ListenSecure(
		context.Background(), s.Listen, keys.Admit(admitted, w.routes()), keys, transport.ClientsRequired)
	if err != nil {
		return nil, err
	}
	return w, nil
}

// Address is the bound address.
func (w *Worker) Address() string { return w.server.Address() }

// Incarnation identifies this run of the worker.
func (w *Worker) Incarnation() string { return w.incarnation }

// Peak returns the highest use of capacity by tasks and of slots so far.
func (w *Worker) Peak() (workerapi.Resources, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machine.Peak()
}

func (w *Worker) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+workerapi.PathAttach, handle(w, w.attach))
	mux.HandleFunc("POST "+workerapi.PathStart, handle(w, w.machine.Start))
	mux.HandleFunc("POST "+workerapi.PathStop, handle(w, w.machine.Stop))
	mux.HandleFunc("POST "+workerapi.PathThrottle, handle(w, w.machine.Throttle))
	mux.HandleFunc("POST "+workerapi.PathCheckpoint, handle(w, w.machine.Checkpoint))
	mux.HandleFunc("POST "+workerapi.PathServe+"{service}", w.serve)
	return protocol.Handler(mux)
}

// Run works until ctx is over and then leaves gracefully: running requests
// finish, and tasks are moved by the scheduler.
func (w *Worker) Run(ctx context.Context) error {
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer func() { _ = w.record.close() }()
	w.server.Serve()
	for _, l := range w.links {
		go w.beat(working, l)
	}
	go w.work(working)
	select {
	case <-ctx.Done():
	case err := <-w.server.Failed():
		return fmt.Errorf("serve %s: %w", w.Address(), err)
	}
	w.leave(working)
	w.server.Drain(daemon.DrainOptions{})
	return nil
}

// leave announces the departure and waits until nothing is left to do.
func (w *Worker) leave(ctx context.Context) {
	w.mu.Lock()
	w.draining = time.Now()
	w.machine.Drain()
	w.mu.Unlock()
	w.withdraw(ctx, false)
	w.nudgeAll()
	ticker := time.NewTicker(quantum)
	defer ticker.Stop()
	for limit := time.Now().Add(withdrawLimit); time.Now().Before(limit) && !w.idle(); {
		<-ticker.C
	}
	w.withdraw(ctx, true)
}

// idle reports whether nothing runs, every outcome is acknowledged and no gateway
// can send anything more.
func (w *Worker) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machine.Idle() && time.Since(w.draining) >= grantsOver
}

// work advances the simulated tasks.
func (w *Worker) work(ctx context.Context) {
	ticker := time.NewTicker(quantum)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			w.mu.Lock()
			w.machine.Advance(now.Sub(w.boot), now.Sub(last))
			w.mu.Unlock()
			last = now
		}
	}
}

// nudge sends the next heartbeat to the scheduler that holds the tasks soon.
func (w *Worker) nudge() {
	for _, l := range w.links {
		if !l.standsBy(w.machine.TaskHolder()) {
			l.nudge()
		}
	}
}

func (w *Worker) nudgeAll() {
	for _, l := range w.links {
		l.nudge()
	}
}

// attach lets a scheduler with a new session hear of the worker at once.
func (w *Worker) attach(now time.Duration, c *workerapi.Attach) workerapi.AttachAnswer {
	answer := w.machine.Attach(now, c)
	if answer.Accepted {
		w.nudgeAll()
	}
	return answer
}

// now is the monotonic time since the start of the worker.
func (w *Worker) now() time.Duration { return time.Since(w.boot) }

// recordTask writes down an event of the machine. An attempt that ended is
// reported soon.
func (w *Worker) recordTask(m machine.Event) {
	e := w.event(w.boot.Add(m.At), EventKind(m.Kind))
	if m.Kind == machine.Peak {
		use, slots := w.machine.Peak()
		e.Use, e.Slots = &use, slots
	} else {
		e.Task, e.Attempt, e.RanMS = m.Task, &m.Attempt, m.Ran.Milliseconds()
	}
	w.record.add(e)
	if m.Kind != machine.TaskStart && m.Kind != machine.Peak {
		w.nudge()
	}
}

func (w *Worker) event(at time.Time, kind EventKind) Event {
	return Event{NS: at.UnixNano(), Worker: w.settings.Name, Incarnation: w.incarnation, Event: kind}
}
