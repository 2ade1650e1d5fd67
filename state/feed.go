package state

import (
	"slices"

	"geraniumwall/rpc/controlpb"
	"geraniumwall/state/statepb"
)

// keptChanges bounds the changes remembered for each domain. A reader that is
// further behind gets the complete set.
const keptChanges = 65536

// change is one entry of a domain's feed.
type change struct {
	index uint64
	task  string
}

// feed lists the changes of tasks that are bound to a domain or left it. It is
// derived from the commands applied by this process and not part of the state.
type feed struct {
	floor   uint64
	changes []change
}

func (t *taskTable) publish(domain string, r *statepb.TaskRecord) {
	if domain == "" {
		return
	}
	f := t.feeds[domain]
	if f == nil {
		f = &feed{floor: t.feedFloor}
		t.feeds[domain] = f
	}
	f.changes = append(f.changes, change{r.GetTask().GetChangedIndex(), r.GetTask().GetId()})
	if len(f.changes) > 2*keptChanges {
		cut := len(f.changes) - keptChanges
		f.floor = f.changes[cut-1].index
		f.changes = slices.Clone(f.changes[cut:])
	}
}

// TasksAfter returns the tasks bound to a domain, or that left it, that changed
// after an index. If that is no longer known it returns the complete set of
// bound tasks and true. A task that was dropped since has only an id.
func (m *Machine) TasksAfter(domain string, after uint64) ([]*controlpb.Task, bool) {
	f := m.tasks.feeds[domain]
	floor := m.tasks.feedFloor
	if f != nil {
		floor = f.floor
	}
	if after < floor || after == 0 || after > m.index {
		var all []*controlpb.Task
		for _, r := range m.tasks.boundTo(domain) {
			all = append(all, r.GetTask())
		}
		return all, true
	}
	return m.changedAfter(f, after), false
}

func (m *Machine) changedAfter(f *feed, after uint64) []*controlpb.Task {
	if f == nil {
		return nil
	}
	start, _ := slices.BinarySearchFunc(f.changes, after+1, func(c change, index uint64) int {
		if c.index < index {
			return -1
		}
		return 1
	})
	seen := map[string]bool{}
	var tasks []*controlpb.Task
	for _, c := range f.changes[start:] {
		if seen[c.task] {
			continue
		}
		seen[c.task] = true
		t, known := m.Task(c.task)
		if !known {
			t = &controlpb.Task{Id: c.task}
		}
		tasks = append(tasks, t)
	}
	return tasks
}

// LastChange returns the index of the newest change in a domain's feed.
func (m *Machine) LastChange(domain string) uint64 {
	f := m.tasks.feeds[domain]
	if f == nil || len(f.changes) == 0 {
		return m.tasks.feedFloor
	}
	return f.changes[len(f.changes)-1].index
}
