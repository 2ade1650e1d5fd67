package state

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"geraniumwall/rpc/controlpb"
)

// maxDrainedWorkers limits the drained workers: every scheduler receives each change
// of the list, and workers that never return stay in it.
const maxDrainedWorkers = 4096

// drainTable holds the names of the workers that operators drained.
type drainTable struct {
	workers map[string]bool
	// changedIndex is the log index of the last change.
	changedIndex uint64
}

// drainWorker drains a worker or undoes its drain, and adds one audit record for
// each change. A request that changes nothing adds none.
func (m *Machine) drainWorker(unixMS int64, c *controlpb.DrainWorkerRequest) (proto.Message, *Refusal) {
	name, drain := c.GetWorker(), !c.GetUndo()
	if m.drains.workers[name] == drain {
		return &controlpb.DrainWorkerResponse{}, nil
	}
	if drain && len(m.drains.workers) >= maxDrainedWorkers {
		return nil, newRefusal(KindTooManyDrains,
			"%d workers are drained; undo the drain of workers that are gone", maxDrainedWorkers)
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

// Drained returns the sorted names of the drained workers and the log index of the
// last change.
func (m *Machine) Drained() ([]string, uint64) {
	return slices.Sorted(maps.Keys(m.drains.workers)), m.drains.changedIndex
}

// DrainsIndex returns the log index of the last change of the drained workers.
func (m *Machine) DrainsIndex() uint64 { return m.drains.changedIndex }
