package state

import (
	"cmp"
	"strings"

	"github.com/tidwall/btree"

	"geraniumwall/rpc/controlpb"
	"geraniumwall/state/statepb"
)

// idempotencyKey identifies a task submission or a request. Each caller chooses
// its own keys.
type idempotencyKey struct {
	caller string
	key    string
}

// taskTable holds the tasks and the lookup structures over them.
type taskTable struct {
	// lastSequence is the sequence of the task that was accepted last.
	lastSequence  uint64
	byID          map[string]*statepb.TaskRecord
	byKey         map[idempotencyKey]string
	pending       *btree.BTreeG[*statepb.TaskRecord]
	ended         *btree.BTreeG[*statepb.TaskRecord]
	boundByDomain map[string]map[string]*statepb.TaskRecord
	feeds         map[string]*changeFeed
	counts        map[controlpb.TaskState]int64
	// feedStartIndex is the log index after which the feeds are complete.
	feedStartIndex uint64
	// justEnded lists the tasks that ended since the last call of TakeEnded.
	justEnded []string
}

func newTaskTable() *taskTable {
	return &taskTable{
		byID:          map[string]*statepb.TaskRecord{},
		byKey:         map[idempotencyKey]string{},
		pending:       btree.NewBTreeG(lessPending),
		ended:         btree.NewBTreeG(lessEnded),
		boundByDomain: map[string]map[string]*statepb.TaskRecord{},
		feeds:         map[string]*changeFeed{},
		counts:        map[controlpb.TaskState]int64{},
	}
}

// lessPending orders tasks by priority class, then by order of acceptance.
func lessPending(a, b *statepb.TaskRecord) bool {
	pa, pb := a.GetTask().GetSpec().GetPriority(), b.GetTask().GetSpec().GetPriority()
	if pa != pb {
		return pa < pb
	}
	return a.GetSequence() < b.GetSequence()
}

func lessEnded(a, b *statepb.TaskRecord) bool {
	ca, cb := a.GetTask().GetChangedIndex(), b.GetTask().GetChangedIndex()
	if ca != cb {
		return ca < cb
	}
	return a.GetSequence() < b.GetSequence()
}

// insert adds a task that is not yet in the table.
func (t *taskTable) insert(r *statepb.TaskRecord) {
	id := r.GetTask().GetId()
	spec := r.GetTask().GetSpec()
	t.byID[id] = r
	t.byKey[idempotencyKey{spec.GetCaller(), spec.GetIdempotencyKey()}] = id
	t.addToIndexes(r)
}

// replace stores the new version of a task and appends it to the change feeds. It
// asserts that the update preserves the invariants of a single task.
func (t *taskTable) replace(before, after *statepb.TaskRecord) {
	assertTaskUpdate(before.GetTask(), after.GetTask())
	t.removeFromIndexes(before)
	t.byID[after.GetTask().GetId()] = after
	t.addToIndexes(after)
	if isTerminal(after.GetTask().GetState()) {
		t.justEnded = append(t.justEnded, after.GetTask().GetId())
	}
	t.appendChange(before.GetTask().GetDomain(), after)
	if after.GetTask().GetDomain() != before.GetTask().GetDomain() {
		t.appendChange(after.GetTask().GetDomain(), after)
	}
}

// assertTaskUpdate asserts that a task has at most one outcome and that its attempt
// never goes backwards. Within a binding, attempts are ordered by epoch and number;
// a new binding has to raise the number.
func assertTaskUpdate(before, after *controlpb.Task) {
	id := before.GetId()
	assert(!isTerminal(before.GetState()), "task %s changed after it ended", id)
	assert(after.GetChangedIndex() >= before.GetChangedIndex(), "task %s: changed index decreased", id)
	if before.GetDomain() != after.GetDomain() && after.GetState() == taskBound {
		assert(after.GetAttempt().GetNumber() > before.GetAttempt().GetNumber(),
			"task %s: binding does not raise the attempt number", id)
		return
	}
	assert(!isOlderAttempt(after.GetAttempt(), before.GetAttempt()), "task %s: attempt went backwards", id)
}

func (t *taskTable) addToIndexes(r *statepb.TaskRecord) {
	task := r.GetTask()
	t.counts[task.GetState()]++
	switch {
	case task.GetState() == taskPending:
		t.pending.Set(r)
	case task.GetState() == taskBound:
		set := t.boundByDomain[task.GetDomain()]
		if set == nil {
			set = map[string]*statepb.TaskRecord{}
			t.boundByDomain[task.GetDomain()] = set
		}
		set[task.GetId()] = r
	default:
		t.ended.Set(r)
	}
}

func (t *taskTable) removeFromIndexes(r *statepb.TaskRecord) {
	task := r.GetTask()
	t.counts[task.GetState()]--
	switch {
	case task.GetState() == taskPending:
		t.pending.Delete(r)
	case task.GetState() == taskBound:
		delete(t.boundByDomain[task.GetDomain()], task.GetId())
	default:
		t.ended.Delete(r)
	}
}

// prune removes up to limit tasks that ended at or before the index through, in
// the order in which they ended.
func (t *taskTable) prune(through uint64, limit uint32) uint32 {
	var dropped uint32
	for dropped < limit {
		r, ok := t.ended.Min()
		if !ok || r.GetTask().GetChangedIndex() > through {
			break
		}
		t.removeFromIndexes(r)
		spec := r.GetTask().GetSpec()
		delete(t.byID, r.GetTask().GetId())
		delete(t.byKey, idempotencyKey{spec.GetCaller(), spec.GetIdempotencyKey()})
		dropped++
	}
	return dropped
}

// boundTo returns the tasks bound to a domain in order of acceptance.
func (t *taskTable) boundTo(domain string) []*statepb.TaskRecord {
	return sortedValues(t.boundByDomain[domain], func(a, b *statepb.TaskRecord) int {
		return cmp.Compare(a.GetSequence(), b.GetSequence())
	})
}

// copyTask returns a shallow copy whose fields may be set. The values that the
// fields point to are shared and must not be modified.
func copyTask(t *controlpb.Task) *controlpb.Task {
	return &controlpb.Task{
		Id: t.GetId(), Spec: t.GetSpec(), State: t.GetState(), Domain: t.GetDomain(), Epoch: t.GetEpoch(),
		Attempt: t.GetAttempt(), Checkpoint: t.GetCheckpoint(), Result: t.GetResult(), Reason: t.GetReason(),
		Evictions: t.GetEvictions(), Failures: t.GetFailures(), CancelRequested: t.GetCancelRequested(),
		ChangedIndex: t.GetChangedIndex(), AcceptedUnixMs: t.GetAcceptedUnixMs(),
	}
}

// copyTaskRecord returns a copy of a record, including its task, that may be modified.
func copyTaskRecord(r *statepb.TaskRecord) *statepb.TaskRecord {
	return &statepb.TaskRecord{
		Task: copyTask(r.GetTask()), Sequence: r.GetSequence(),
		LastEvent: r.GetLastEvent(), LastDomain: r.GetLastDomain(),
	}
}

// Task returns the task with the given id and whether it exists.
func (m *Machine) Task(id string) (*controlpb.Task, bool) {
	r, ok := m.tasks.byID[id]
	return r.GetTask(), ok
}

// ScanPending calls f for each pending task until f returns false: the most urgent
// priority class first, and within a class in order of acceptance.
func (m *Machine) ScanPending(f func(*controlpb.Task) bool) {
	m.tasks.pending.Scan(func(r *statepb.TaskRecord) bool { return f(r.GetTask()) })
}

// PendingCount returns the number of pending tasks.
func (m *Machine) PendingCount() int { return m.tasks.pending.Len() }

// BoundCount returns the number of tasks bound to a domain.
func (m *Machine) BoundCount(domain string) int { return len(m.tasks.boundByDomain[domain]) }

func compareIdempotencyKeys(a, b idempotencyKey) int {
	return cmp.Or(strings.Compare(a.caller, b.caller), strings.Compare(a.key, b.key))
}
