// Package raft is the replicated log: a pure state machine stepped by messages
// and by the passing of time. It opens no socket or file, starts no goroutine,
// reads no clock and draws randomness only from the source it is given.
//
// # Driving a Node
//
// One goroutine owns a Node. It calls Tick at a steady interval (half a
// heartbeat interval or shorter), Step for each message received, and Propose,
// Read, ChangeMembers or Transfer for local requests. After each of these calls
// (or a batch of them: proposals made between two calls of Ready share
// messages and one disk write) it takes the resulting work:
//
//	for node.HasReady() {
//		ready := node.Ready()
//		if ready.Write != nil {
//			go func() { persist(ready.Write); completed <- ready.Write }()
//		}
//		send(ready.Messages)
//		if ready.Restore != nil { restore(ready.Restore) }
//		apply(ready.Committed)
//		answer(ready.Reads)
//	}
//
// and, when the disk write has been synced:
//
//	case write := <-completed:
//		send(write.Messages)
//		node.Advance(write)
//
// At most one Write is outstanding. Tick, Step and Ready may be called while it
// is in progress; what has to be written meanwhile is collected into the next
// Write, which is the group commit. Write.Messages must leave only after the
// write is durable; Ready.Messages may leave at once. A write that fails must
// not be retried: the process ends.
//
// # Proposals
//
// Propose returns the Position of the new entry. The proposal succeeded when
// an entry of that index and term is applied, and is lost when an entry with
// this index and another term is applied, or a restored snapshot covers the
// index and the state shows no effect of it. While neither has happened its
// outcome is unknown, even if leadership has moved.
//
// # Snapshots
//
// The caller takes a snapshot of its state after applying entry i, passes it to
// MakeSnapshot(i, data), saves the result durably and then calls Compact with
// it. After a restart New is given the newest saved snapshot and the entries
// that follow it; the caller restores its state from Stored.Snapshot before it
// applies the first entries. A snapshot received from the leader arrives first
// as Write.Snapshot (replace the stored log by it) and, once durable, as
// Ready.Restore (replace the state by it).
//
// # Starting a cluster
//
// The first replicas all start from Bootstrap with the same members. A replica
// added later starts from an empty Stored under an id above all used
// before, and is added by ChangeMembers as a learner, then promoted. A replica
// that lost its disk comes back in this way too, since under its old id it
// could vote twice in one term.
package raft
