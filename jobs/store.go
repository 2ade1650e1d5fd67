package jobs

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Store is the state machine. It is not safe for concurrent use.
type Store struct {
	config *Config
	jobs   map[string]*Job
	// order lists the jobs by acceptance, for deterministic scans.
	order []*Job
	// bound lists the tasks with a current attempt by worker.
	bound   map[Incarnation]map[TaskKey]*Task
	effects []Effect
	// changed are the jobs whose waiting tasks may have changed since TakeChanged.
	changed map[string]bool
}

// NewStore returns an empty state.
func NewStore() *Store {
	return &Store{jobs: map[string]*Job{}, bound: map[Incarnation]map[TaskKey]*Task{}, changed: map[string]bool{}}
}

// Result tells what a command did.
type Result struct {
	// Applied is false if the command no longer fitted the state and changed nothing.
	Applied bool
	// Known is true for a job that a caller has submitted.
	Known bool
}

// Apply carries out a command.
func (s *Store) Apply(c Command) Result {
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
	case c.Learn != nil:
		s.effects = c.Learn.Effects
		return Result{Applied: true}
	case c.Prune != nil:
		return s.prune(c.Prune)
	}
	return Result{}
}

func (s *Store) configure(c *Configure) Result {
	if s.config != nil && c.Config.Version <= s.config.Version {
		return Result{}
	}
	config := c.Config
	config.retire(s.config, s.hasActive)
	s.config = &config
	for _, j := range s.order {
		s.changed[j.ID] = true
	}
	return Result{Applied: true}
}

func (s *Store) hasActive(queue string) bool {
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
	j.newRuns()
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
	s.finish(j, Cancelled, c.At)
	return Result{Applied: true, Known: true}
}

func (s *Store) finish(j *Job, state State, at int64) {
	j.State, j.EndedAt = state, at
	s.changed[j.ID] = true
}

func (s *Store) bind(c *Bind) Result {
	j := s.jobs[c.Task.Job]
	if j == nil || j.State.Ended() {
		return Result{}
	}
	t := j.Task(c.Task)
	if t == nil || t.Done || t.Bound != nil || c.Attempt != t.Attempt+1 || !j.Ready(c.Task.Occurrence, c.Task.Step) {
		return Result{}
	}
	on := c.On
	t.Attempt, t.Bound, t.BoundAt = c.Attempt, &on, c.At
	j.State, j.Started = Running, true
	s.addBound(t)
	return Result{Applied: true}
}

func (s *Store) addBound(t *Task) {
	tasks := s.bound[*t.Bound]
	if tasks == nil {
		tasks = map[TaskKey]*Task{}
		s.bound[*t.Bound] = tasks
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
	if t.Bound == nil || t.Attempt != c.Attempt {
		return s.endLate(j, t, c)
	}
	on := *t.Bound
	delete(s.bound[on], t.Key)
	if len(s.bound[on]) == 0 {
		delete(s.bound, on)
	}
	t.Bound, t.EndedAt = nil, c.At
	if !j.Step(t.Key).LongRunning && (c.Outcome == OutcomeLapsed || c.Outcome == OutcomeLost) {
		t.GivenUp = append(t.GivenUp, c.Attempt)
	}
	if c.Checkpoint != "" {
		t.Checkpoint = c.Checkpoint
	}
	s.changed[j.ID] = true
	s.count(j, t, c)
	return Result{Applied: true, Known: true}
}

// endLate takes in the end of an attempt that was given up before: its worker had
// ended it unseen. A task that is done stays done, and failures count once.
func (s *Store) endLate(j *Job, t *Task, c *End) Result {
	position := slices.Index(t.GivenUp, c.Attempt)
	if position < 0 || t.Done || c.Outcome != OutcomeDone && c.Outcome != OutcomeFailed {
		return Result{}
	}
	t.GivenUp = slices.Delete(t.GivenUp, position, position+1)
	s.changed[j.ID] = true
	s.count(j, t, c)
	return Result{Applied: true, Known: true}
}

// count takes the outcome of an attempt into the state of its task and job.
func (s *Store) count(j *Job, t *Task, c *End) {
	step := j.Step(t.Key)
	switch {
	case step.LongRunning:
		if c.Outcome == OutcomeDone || c.Outcome == OutcomeFailed {
			t.Checkpoint = ""
		}
	case c.Outcome == OutcomeDone:
		s.taskDone(j, t, c.At)
	case c.Outcome == OutcomeFailed:
		t.Failures++
		if q := s.queueOf(j); q != nil && t.Failures >= max(1, q.MaxAttempts) && !j.State.Ended() {
			s.finish(j, Failed, c.At)
		}
	}
}

func (s *Store) queueOf(j *Job) *Queue {
	if s.config == nil {
		return nil
	}
	return s.config.Queue(j.Queue)
}

// taskDone counts a task that is done. One done end of a gang stands for all of it.
func (s *Store) taskDone(j *Job, t *Task, at int64) {
	r := j.stepRun(t.Key)
	if j.Step(t.Key).Gang {
		for i := range r.Tasks {
			r.Tasks[i].Done = true
		}
		r.Left = 0
	} else if !t.Done {
		t.Done = true
		r.Left--
	}
	if r.Left > 0 {
		return
	}
	j.countLeft()
	if j.runsLeft == 0 && !j.State.Ended() {
		s.finish(j, Done, at)
	}
}

func (s *Store) prune(c *Prune) Result {
	for _, id := range c.IDs {
		j := s.jobs[id]
		if j == nil || !j.State.Ended() || s.HasBound(j) {
			continue
		}
		delete(s.jobs, id)
		s.order = slices.DeleteFunc(s.order, func(o *Job) bool { return o == j })
	}
	return Result{Applied: true}
}

// HasBound reports whether a task of the job has a current attempt.
func (s *Store) HasBound(j *Job) bool {
	found := false
	j.Tasks(func(t *Task) { found = found || t.Bound != nil })
	return found
}

// Config returns the configuration in force, or nil before the first.
func (s *Store) Config() *Config { return s.config }

// Effects returns what the newest leader has recorded as learned. It must not be
// modified.
func (s *Store) Effects() []Effect { return s.effects }

// Job returns a job, or nil.
func (s *Store) Job(id string) *Job { return s.jobs[id] }

// Jobs returns all jobs in the order of acceptance. It must not be modified.
func (s *Store) Jobs() []*Job { return s.order }

// BoundTo returns the tasks that are bound to a worker. It must not be modified.
func (s *Store) BoundTo(on Incarnation) map[TaskKey]*Task { return s.bound[on] }

// BoundWorkers calls visit with each worker that has bound tasks.
func (s *Store) BoundWorkers(visit func(Incarnation, map[TaskKey]*Task)) {
	for on, tasks := range s.bound {
		visit(on, tasks)
	}
}

// TakeChanged returns the jobs with changes since the last call.
func (s *Store) TakeChanged() map[string]bool {
	changed := s.changed
	s.changed = map[string]bool{}
	return changed
}

// Pending counts the accepted jobs of a queue of which no task has started.
func (s *Store) Pending(queue string) int {
	pending := 0
	for _, j := range s.order {
		if j.Queue == queue && j.State == Queued && !j.Unsubmitted {
			pending++
		}
	}
	return pending
}

// image is the binary form of the whole state.
type image struct {
	Config  *Config  `json:"config"`
	Jobs    []*Job   `json:"jobs"`
	Effects []Effect `json:"effects,omitempty"`
}

// Snapshot returns the binary form of the whole state.
func (s *Store) Snapshot() ([]byte, error) {
	data, err := json.Marshal(image{s.config, s.order, s.effects})
	if err != nil {
		return nil, fmt.Errorf("encode the state of jobs: %w", err)
	}
	return data, nil
}

// Restore replaces the state by a snapshot.
func Restore(data []byte) (*Store, error) {
	var i image
	if err := json.Unmarshal(data, &i); err != nil {
		return nil, fmt.Errorf("decode the state of jobs: %w; start the version that wrote the snapshot", err)
	}
	s := NewStore()
	s.config, s.effects = i.Config, i.Effects
	for _, j := range i.Jobs {
		s.insert(j)
		j.countLeft()
		j.Tasks(func(t *Task) {
			if t.Bound != nil {
				s.addBound(t)
			}
		})
	}
	return s, nil
}
