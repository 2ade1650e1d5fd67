package control

import (
	"google.golang.org/protobuf/proto"

	"geraniumwall/raft"
)

// Messages to the actor.
type (
	// tick lets time pass.
	tick struct{}
	// received is a batch of messages of another replica.
	received struct{ messages []raft.Message }
	// written tells that a write is durable.
	written struct{ write *raft.Write }
	// encoded is a finished snapshot of the state machine.
	encoded struct {
		index uint64
		data  []byte
	}
	// snapshotSaved tells that a snapshot is durable.
	snapshotSaved struct{ snapshot raft.Snapshot }
	// propose asks for a command to be appended. done is called once, in the
	// actor.
	propose struct {
		data []byte
		done func(proto.Message, error)
	}
	// changeMembers asks for a membership change.
	changeMembers struct {
		change raft.MemberChange
		done   func(proto.Message, error)
	}
	// read asks for a linearizable read: run is called once the state is new
	// enough, or with an error.
	read struct{ run func(r *replica, err error) }
	// renewal is a read that may be held back to share a heartbeat round.
	renewal struct{ run func(r *replica, err error) }
	// flushRenewals ends the wait of the renewals.
	flushRenewals struct{}
	// local runs in the actor without any check.
	local struct{ run func(r *replica) }
	// transfer hands leadership over.
	transfer struct{}
	// removal tells that the membership without this replica is committed.
	removal struct{}
)

// proposal is an appended command whose fate is not known yet.
type proposal struct {
	term uint64
	done func(proto.Message, error)
}
