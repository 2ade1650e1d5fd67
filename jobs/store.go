package jobs

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Store is the state machine of jobs. It is not safe for concurrent use.
type Store struct {
	config *Config
	jobs   map[string]*Job
	// order lists the jobs in order of acceptance, for deterministic iteration.
	order []*Job
	// boundTasks are the tasks with a current attempt, by worker.
	boundTasks map[Incarnation]map[TaskKey]*Task
	effects    []Effect
	// workers are the registered workers, by id.
	workers     map[string]*Worker
	evacuations evacuations
	// lastCommandAt is the time of the latest command that tells its time, in Unix
	// milliseconds.
	lastCommandAt int64
	// expired are the tasks with expired attempts.
	expired map[TaskKey]*Task
	// changed are the jobs whose waiting tasks may have changed since the last call of
	// TakeChanged.
	changed map[string]bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		jobs: map[string]*Job{}, boundTasks: map[Incarnation]map[TaskKey]*Task{}, workers: map[string]*Worker{},
		expired: map[TaskKey]*Task{}, changed: map[string]bool{}, evacuations: evacuations{inForce: map[string]Evacuation{}},
	}
}

// Result is the effect of a command.
type Result struct {
	// Applied is false if the command no longer matched the state and changed nothing.
	Applied bool
	// Known is true if the job has been submitted.
	Known bool
}

// Apply applies a committed command.
func (s *Store) Apply(c Command) Result {
	if at := c.at(); at != 0 {
		s.lastCommandAt = at
	}
	switch {
	case c.Configure != nil:
		return s.configure(c.Configure)
	case c.Submit != nil:
		return s.submit(c.Submit)
	case c.Cancel != nil:
		return s.cancel(c.Cancel)
	case c.Bind != nil:
		return s.bind(c.Bind)
	case c.End != nil:
		return s.end(c.End)
	case c.RecordStarts != nil:
		return s.recordStarts(c.RecordStarts)
	case c.RecordEffects != nil:
		s.effects = c.RecordEffects.Effects
		return Result{Applied: true}
	case c.Prune != nil:
		return s.prune(c.Prune)
	case c.RegisterWorker != nil:
		return s.registerWorker(c.RegisterWorker)
	case c.RemoveWorker != nil:
		return s.removeWorker(c.RemoveWorker)
	case c.Evacuate != nil:
		return s.evacuate(c.Evacuate)
	case c.EndEvacuation != nil:
		return s.endEvacuation(c.EndEvacuation)
	}
	return Result{}
}

func (s *Store) configure(c *Configure) Result {
	if s.config != nil && c.Config.Version <= s.config.Version {
		return Result{}
	}
	config := c.Config
	config.retainActiveQueues(s.config, s.hasActiveJobs)
	s.config = &config
	for _, j := range s.order {
		s.changed[j.ID] = true
	}
	return Result{Applied: true}
}

func (s *Store) hasActiveJobs(queue string) bool {
	return slices.ContainsFunc(s.order, func(j *Job) bool { return j.Queue == queue && !j.State.Ended() })
}

func (s *Store) submit(c *Submit) Result {
	if j := s.jobs[c.ID]; j != nil {
		if j.Unsubmitted {
			j.Unsubmitted = false
			j.Queue, j.Spec = c.Queue, c.Spec
		}
		return Result{Known: true}
	}
	j := &Job{ID: c.ID, Queue: c.Queue, Spec: c.Spec, AcceptedAt: c.At, State: Queued}
	j.initRuns()
	s.insert(j)
	return Result{Applied: true, Known: true}
}

func (s *Store) insert(j *Job) {
	s.jobs[j.ID] = j
	s.order = append(s.order, j)
	s.changed[j.ID] = true
}

func (s *Store) cancel(c *Cancel) Result {
	j := s.jobs[c.ID]
	if j == nil {
		s.insert(&Job{ID: c.ID, State: Cancelled, EndedAt: c.At, Unsubmitted: true})
		return Result{Applied: true}
	}
	if j.State.Ended() {
		return Result{Known: !j.Unsubmitted}
	}
	s.endJob(j, Cancelled, c.At)
	return Result{Applied: true, Known: true}
}

func (s *Store) endJob(j *Job, state State, at int64) {
	j.State, j.EndedAt = state, at
	s.changed[j.ID] = true
}

func (s *Store) bind(c *Bind) Result {
	j := s.jobs[c.Task.Job]
	if j == nil || j.State.Ended() {
		return Result{}
	}
	t := j.Task(c.Task)
	if t == nil || t.Done || t.BoundTo != nil || c.Attempt != t.Attempt+1 || !j.StepReady(c.Task.Occurrence, c.Task.Step) {
		return Result{}
	}
	worker := c.On
	t.Attempt, t.BoundTo, t.BoundAt = c.Attempt, &worker, c.At
	s.addBound(t)
	return Result{Applied: true}
}

func (s *Store) addBound(t *Task) {
	tasks := s.boundTasks[*t.BoundTo]
	if tasks == nil {
		tasks = map[TaskKey]*Task{}
		s.boundTasks[*t.BoundTo] = tasks
	}
	tasks[t.Key] = t
}

func (s *Store) end(c *End) Result {
	j := s.jobs[c.Task.Job]
	if j == nil {
		return Result{}
	}
	t := j.Task(c.Task)
	if t == nil {
		return Result{}
	}
	if t.BoundTo == nil || t.Attempt != c.Attempt {
		return s.endAbandoned(j, t, c)
	}
	worker := *t.BoundTo
	delete(s.boundTasks[worker], t.Key)
	if len(s.boundTasks[worker]) == 0 {
		delete(s.boundTasks, worker)
	}
	t.BoundTo, t.EndedAt = nil, c.At
	if !j.Step(t.Key).LongRunning && (c.Outcome == OutcomeLeaseExpired || c.Outcome == OutcomeLost || c.Outcome == OutcomeCrashed) {
		t.AbandonedAttempts = append(t.AbandonedAttempts, c.Attempt)
	}
	if c.Outcome == OutcomeLeaseExpired && !j.State.Ended() {
		s.addExpired(t, worker, c)
	}
	if c.Checkpoint != "" {
		t.Checkpoint = c.Checkpoint
	}
	s.changed[j.ID] = true
	resetCrashes(j, t, c.At-t.BoundAt)
	s.applyOutcome(j, t, c)
	return Result{Applied: true, Known: true}
}

// endAbandoned records the outcome of an abandoned attempt that its worker reports late.
// A task that is done stays done, and a failure counts once.
func (s *Store) endAbandoned(j *Job, t *Task, c *End) Result {
	if c.Outcome == OutcomeCrashed || c.Outcome == OutcomeLeaseExpired {
		return s.settleExpired(j, t, c)
	}
	index := slices.Index(t.AbandonedAttempts, c.Attempt)
	if index < 0 || t.Done || c.Outcome != OutcomeDone && c.Outcome != OutcomeFailed {
		return Result{}
	}
	t.AbandonedAttempts = slices.Delete(t.AbandonedAttempts, index, index+1)
	s.changed[j.ID] = true
	s.applyOutcome(j, t, c)
	return Result{Applied: true, Known: true}
}

// applyOutcome updates a task and its job with the outcome of an attempt.
func (s *Store) applyOutcome(j *Job, t *Task, c *End) {
	step := j.Step(t.Key)
	if c.Outcome.provesStart() {
		j.markStarted(c.At)
	}
	switch {
	case c.Outcome == OutcomeCrashed:
		s.countCrash(j, t, c)
	case step.LongRunning:
		if c.Outcome == OutcomeDone || c.Outcome == OutcomeFailed {
			t.Checkpoint = ""
		}
	case c.Outcome == OutcomeDone:
		s.completeTask(j, t, c.At)
	case c.Outcome == OutcomeFailed:
		t.Failures++
		if q := s.queueOf(j); q != nil && t.Failures >= max(1, q.MaxAttempts) && !j.State.Ended() {
			s.endJob(j, Failed, c.At)
		}
	}
}

func (s *Store) queueOf(j *Job) *Queue {
	if s.config == nil {
		return nil
	}
	return s.config.Queue(j.Queue)
}

// completeTask marks a task as done, and its job if no task remains. The first done
// member of a gang completes the whole gang.
func (s *Store) completeTask(j *Job, t *Task, at int64) {
	r := j.stepRun(t.Key)
	if j.Step(t.Key).Gang {
		for i := range r.Tasks {
			r.Tasks[i].Done = true
		}
		r.Remaining = 0
	} else if !t.Done {
		t.Done = true
		r.Remaining--
	}
	if r.Remaining > 0 {
		return
	}
	j.countRemainingRuns()
	if j.runsRemaining == 0 && !j.State.Ended() {
		s.endJob(j, Done, at)
	}
}

func (s *Store) prune(c *Prune) Result {
	for _, id := range c.IDs {
		j := s.jobs[id]
		if j == nil || !j.State.Ended() || s.HasBound(j) {
			continue
		}
		delete(s.jobs, id)
		j.Tasks(func(t *Task) { delete(s.expired, t.Key) })
		s.order = slices.DeleteFunc(s.order, func(o *Job) bool { return o == j })
	}
	return Result{Applied: true}
}

// HasBound reports whether a task of the job has a current attempt.
func (s *Store) HasBound(j *Job) bool {
	found := false
	j.Tasks(func(t *Task) { found = found || t.BoundTo != nil })
	return found
}

// Config returns the active configuration, or nil before the first one.
func (s *Store) Config() *Config { return s.config }

// LastCommandAt returns when the latest command of a leader was proposed, in Unix
// milliseconds by the clock of that leader, or 0 if there is none.
func (s *Store) LastCommandAt() int64 { return s.lastCommandAt }

// Effects returns the interference effects that a leader recorded last. The result
// must not be modified.
func (s *Store) Effects() []Effect { return s.effects }

// Job returns the job with the given id, or nil.
func (s *Store) Job(id string) *Job { return s.jobs[id] }

// Jobs returns all jobs in order of acceptance. The result must not be modified.
func (s *Store) Jobs() []*Job { return s.order }

// BoundTo returns the tasks that are bound to a worker. The result must not be modified.
func (s *Store) BoundTo(worker Incarnation) map[TaskKey]*Task { return s.boundTasks[worker] }

// BoundWorkers calls visit with each worker that has bound tasks.
func (s *Store) BoundWorkers(visit func(Incarnation, map[TaskKey]*Task)) {
	for worker, tasks := range s.boundTasks {
		visit(worker, tasks)
	}
}

// TakeChanged returns the ids of the jobs that changed since the last call.
func (s *Store) TakeChanged() map[string]bool {
	changed := s.changed
	s.changed = map[string]bool{}
	return changed
}

// snapshot is the serialized form of a Store.
type snapshot struct {
	Config  *Config   `json:"config"`
	Jobs    []*Job    `json:"jobs"`
	Effects []Effect  `json:"effects,omitempty"`
	Workers []*Worker `json:"workers,omitempty"`
	// LastCommandAt is missing in snapshots of earlier versions.
	LastCommandAt int64 `json:"last_command_at,omitempty"`
	// Evacuations and EvacuationRecords are missing in snapshots of earlier versions.
	Evacuations       []Evacuation       `json:"evacuations,omitempty"`
	EvacuationRecords []EvacuationRecord `json:"evacuation_records,omitempty"`
}

// Snapshot serializes the whole state.
func (s *Store) Snapshot() ([]byte, error) {
	data, err := json.Marshal(snapshot{
		Config: s.config, Jobs: s.order, Effects: s.effects, Workers: s.Workers(), LastCommandAt: s.lastCommandAt,
		Evacuations: s.Evacuations(), EvacuationRecords: s.evacuations.records,
	})
	if err != nil {
		return nil, fmt.Errorf("encode the job state: %w", err)
	}
	return data, nil
}

// Restore returns a store with the state of a snapshot.
func Restore(data []byte) (*Store, error) {
	var decoded snapshot
	if err := json.Unmarshal(data, &decoded); err != nil {
		return nil, fmt.Errorf("decode the job state: %w; run the version that wrote the snapshot", err)
	}
	s := NewStore()
	s.config, s.effects, s.lastCommandAt = decoded.Config, decoded.Effects, decoded.LastCommandAt
	for _, e := range decoded.Evacuations {
		s.evacuations.inForce[e.Domain] = e
	}
	s.evacuations.records = decoded.EvacuationRecords
	for _, w := range decoded.Workers {
		s.workers[w.Worker] = w
	}
	for _, j := range decoded.Jobs {
		s.insert(j)
		j.countRemainingRuns()
		j.correctStart()
		j.Tasks(func(t *Task) {
			if t.BoundTo != nil {
				s.addBound(t)
			}
			if len(t.ExpiredAttempts) > 0 {
				s.expired[t.Key] = t
			}
			j.maxCrashes = max(j.maxCrashes, t.Crashes)
		})
	}
	return s, nil
}
