package state

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"geraniumwall/rpc/controlpb"
)

// maxDrainedWorkers bounds the drained workers: each change is sent to every scheduler,
// and workers that never come back stay in the list.
const maxDrainedWorkers = 4096

// drainTable holds the names of the workers that operators drained.
type drainTable struct {
	workers map[string]bool
	// changedIndex is the index of the last change.
	changedIndex uint64
}

// drainWorker drains a worker or ends that, with one audit record for each change.
func (m *Machine) drainWorker(unixMS int64, c *controlpb.DrainWorkerRequest) (proto.Message, *Refusal) {
	name, drain := c.GetWorker(), !c.GetUndo()
	if m.drains.workers[name] == drain {
		return &controlpb.DrainWorkerResponse{}, nil
	}
	if drain && len(m.drains.workers) >= maxDrainedWorkers {
		return nil, newRefusal(KindTooManyDrains, "%d workers are drained; undo the drain of workers that are gone", maxDrainedWorkers)
	}
	action := "drain"
	if drain {
		m.drains.workers[name] = true
	} else {
		delete(m.drains.workers, name)
		action = "undrain"
	}
	m.drains.changedIndex = m.index
	m.audit.append(&controlpb.AuditRecord{
		UnixMs: unixMS, Actor: c.GetActor(), Action: action, Subject: name, Result: "done",
	})
	return &controlpb.DrainWorkerResponse{Changed: true}, nil
}

// Drained returns the names of the drained workers in order, and the index of the
// last change.
func (m *Machine) Drained() ([]string, uint64) {
	return slices.Sorted(maps.Keys(m.drains.workers)), m.drains.changedIndex
}

// DrainsIndex returns the index of the last change of the drained workers.
func (m *Machine) DrainsIndex() uint64 { return m.drains.changedIndex }
