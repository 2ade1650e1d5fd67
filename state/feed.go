package state

import (
	"slices"

	"geraniumwall/rpc/controlpb"
	"geraniumwall/state/statepb"
)

// retainedChanges is the number of changes to which the feed of a domain is trimmed
// when it exceeds twice that number. A reader that is further behind receives the
// complete set of bound tasks.
const retainedChanges = 16384

// taskChange is one entry of a domain's change feed.
type taskChange struct {
	index  uint64
	taskID string
}

// changeFeed lists the changes of tasks that are bound to a domain or have left it.
// It is derived from the commands that this process applied and is not part of the
// replicated state.
type changeFeed struct {
	// startIndex is the log index after which the feed is complete.
	startIndex uint64
	changes    []taskChange
}

// appendChange adds the new version of a task to the change feed of a domain.
func (t *taskTable) appendChange(domain string, r *statepb.TaskRecord) {
	if domain == "" {
		return
	}
	f := t.feeds[domain]
	if f == nil {
		f = &changeFeed{startIndex: t.feedStartIndex}
		t.feeds[domain] = f
	}
	f.changes = append(f.changes, taskChange{r.GetTask().GetChangedIndex(), r.GetTask().GetId()})
	if len(f.changes) > 2*retainedChanges {
		cut := len(f.changes) - retainedChanges
		f.startIndex = f.changes[cut-1].index
		f.changes = slices.Clone(f.changes[cut:])
	}
}

// TasksAfter returns the tasks that are bound to a domain or have left it, and that
// changed after the index after. If the feed does not reach back to that index, it
// returns the complete set of bound tasks and true. A task that has been pruned
// since has only its id set.
func (m *Machine) TasksAfter(domain string, after uint64) ([]*controlpb.Task, bool) {
	f := m.tasks.feeds[domain]
	startIndex := m.tasks.feedStartIndex
	if f != nil {
		startIndex = f.startIndex
	}
	if after < startIndex || after == 0 || after > m.index {
		var bound []*controlpb.Task
		for _, r := range m.tasks.boundTo(domain) {
			bound = append(bound, r.GetTask())
		}
		return bound, true
	}
	return m.changedAfter(f, after), false
}

func (m *Machine) changedAfter(f *changeFeed, after uint64) []*controlpb.Task {
	if f == nil {
		return nil
	}
	start, _ := slices.BinarySearchFunc(f.changes, after+1, func(c taskChange, index uint64) int {
		if c.index < index {
			return -1
		}
		return 1
	})
	seen := map[string]bool{}
	var tasks []*controlpb.Task
	for _, c := range f.changes[start:] {
		if seen[c.taskID] {
			continue
		}
		seen[c.taskID] = true
		t, known := m.Task(c.taskID)
		if !known {
			t = &controlpb.Task{Id: c.taskID}
		}
		tasks = append(tasks, t)
	}
	return tasks
}

// LastChange returns the log index of the newest change in a domain's feed, or the
// index at which the feeds start if there is none.
func (m *Machine) LastChange(domain string) uint64 {
	f := m.tasks.feeds[domain]
	if f == nil || len(f.changes) == 0 {
		return m.tasks.feedStartIndex
	}
	return f.changes[len(f.changes)-1].index
}
