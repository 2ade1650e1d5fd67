package state

import (
	"slices"

	"geraniumwall/rpc/controlpb"
	"geraniumwall/state/statepb"
)

// retainedChanges bounds the changes remembered for each domain. A reader that is
// further behind gets the complete set.
const retainedChanges = 16384

// taskChange is one entry of a domain's feed.
type taskChange struct {
	index  uint64
	taskID string
}

// changeFeed lists the changes of tasks that are bound to a domain or left it. It is
// derived from the commands applied by this process and not part of the state.
type changeFeed struct {
	startIndex uint64
	changes    []taskChange
}

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

// TasksAfter returns the tasks bound to a domain, or that left it, that changed
// after an index. If that is no longer known it returns the complete set of
// bound tasks and true. A task that was dropped since has only an id.
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

// LastChange returns the index of the newest change in a domain's feed.
func (m *Machine) LastChange(domain string) uint64 {
	f := m.tasks.feeds[domain]
	if f == nil || len(f.changes) == 0 {
		return m.tasks.feedStartIndex
	}
	return f.changes[len(f.changes)-1].index
}
