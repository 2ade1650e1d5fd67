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
	"geraniumwall/workerapi"
)

const (
	// quantum is the step of simulated work.
	quantum = 10 * time.Millisecond
	// holderSilence is the silence of the holder after which another scheduler may
	// take the session for services only.
	holderSilence = time.Second
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
	wake        chan struct{}

	mu       sync.Mutex
	session  session
	heard    map[string]time.Time
	tasks    map[string]*attempt
	newest   map[string]fence
	sent     map[uint64]time.Time
	sequence uint64
	inUse    map[uint64]int
	busy     int
	draining time.Time
	meters   map[string]*meter
	peak     workerapi.Resources
	slotPeak int
}

// session is the newest accepted attach.
type session struct {
	number       uint64
	holder       string
	epoch        uint64
	servicesOnly bool
	// taskHolder and taskEpoch are of the newest full attach.
	taskHolder string
	taskEpoch  uint64
}

// New binds the address and opens the record file. Run starts to work.
func New(s *Settings, log zerolog.Logger) (*Worker, error) {
	record, err := openRecorder(s.RecordFile)
	if err != nil {
		return nil, err
	}
	w := &Worker{
		settings: s, incarnation: uuid.NewString(), boot: time.Now(), log: log, record: record,
		http:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}},
		wake:  make(chan struct{}, 1),
		heard: map[string]time.Time{}, tasks: map[string]*attempt{}, newest: map[string]fence{},
		sent: map[uint64]time.Time{}, inUse: map[uint64]int{}, meters: map[string]*meter{},
	}
	w.server, err = daemon.Listen(context.Background(), s.Listen, w.routes())
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
	return w.peak, w.slotPeak
}

func (w *Worker) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+workerapi.PathAttach, handle(w.attach))
	mux.HandleFunc("POST "+workerapi.PathStart, handle(w.start))
	mux.HandleFunc("POST "+workerapi.PathStop, handle(w.stop))
	mux.HandleFunc("POST "+workerapi.PathThrottle, handle(w.throttle))
	mux.HandleFunc("POST "+workerapi.PathCheckpoint, handle(w.checkpoint))
	mux.HandleFunc("POST "+workerapi.PathServe+"{service}", w.serve)
	return mux
}

// Run works until ctx is over and then leaves gracefully: running requests
// finish, and tasks are moved by the scheduler.
func (w *Worker) Run(ctx context.Context) error {
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer func() { _ = w.record.close() }()
	w.server.Serve()
	go w.beat(working)
	go w.work(working)
	select {
	case <-ctx.Done():
	case err := <-w.server.Failed():
		return fmt.Errorf("serve %s: %w", w.Address(), err)
	}
	w.leave(working)
	if err := w.server.Shutdown(working); err != nil {
		return fmt.Errorf("shut down: %w", err)
	}
	return nil
}

// leave announces the departure and waits until nothing is left to do.
func (w *Worker) leave(ctx context.Context) {
	w.mu.Lock()
	w.draining = time.Now()
	w.mu.Unlock()
	w.withdraw(ctx, false)
	w.nudge()
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
	return w.busy == 0 && len(w.tasks) == 0 && time.Since(w.draining) >= grantsOver
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
			w.advance(now, now.Sub(last))
			w.mu.Unlock()
			last = now
		}
	}
}

// nudge sends the next heartbeat soon.
func (w *Worker) nudge() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Worker) event(at time.Time, kind EventKind) Event {
	return Event{NS: at.UnixNano(), Worker: w.settings.Name, Incarnation: w.incarnation, Event: kind}
}
