package formats

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"geraniumwall/raft"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/state"
	"geraniumwall/state/statepb"
	"geraniumwall/wal"
)

const (
	replicaID = 1
	// segmentBytes makes the sample log span several segments.
	segmentBytes = 700
	// snapshotAfter is the index of the sample snapshot; the log before it is kept
	// in part and the log behind it is replayed.
	snapshotAfter = 9
	sampleTerm    = 3
)

// Replica is what a control replica reads from its data directory.
type Replica struct {
	HardState raft.HardState
	Snapshot  raft.SnapshotMeta
	// Last is the index of the last entry.
	Last uint64
	// State is the replicated state after the last entry.
	State json.RawMessage
}

// Machine returns the replicated state.
func (r Replica) Machine() (*statepb.Snapshot, error) {
	s := &statepb.Snapshot{}
	return s, protojson.Unmarshal(r.State, s)
}

// ReadReplica opens a data directory as a control replica does when it starts and
// applies its log. The directory is changed as by any start.
func ReadReplica(dir string) (Replica, error) {
	store, stored, err := wal.Open(wal.Options{Dir: dir, ReplicaID: replicaID, SegmentBytes: segmentBytes})
	if err != nil {
		return Replica{}, err
	}
	if err := store.Close(); err != nil {
		return Replica{}, err
	}
	machine, err := replay(stored)
	if err != nil {
		return Replica{}, err
	}
	encoded, err := machine.Capture().Encode()
	if err != nil {
		return Replica{}, err
	}
	snapshot := &statepb.Snapshot{}
	if err := proto.Unmarshal(encoded, snapshot); err != nil {
		return Replica{}, err
	}
	text, err := protojson.Marshal(snapshot)
	return Replica{
		HardState: stored.HardState, Snapshot: stored.Snapshot.SnapshotMeta,
		Last: stored.Snapshot.Index + uint64(len(stored.Entries)), State: text,
	}, err
}

func replay(stored raft.Stored) (*state.Machine, error) {
	machine := state.New()
	if len(stored.Snapshot.Data) > 0 {
		var err error
		if machine, err = state.Restore(stored.Snapshot.Data); err != nil {
			return nil, err
		}
	}
	for _, entry := range stored.Entries {
		if err := applyEntry(machine, entry); err != nil {
			return nil, err
		}
	}
	return machine, nil
}

func applyEntry(machine *state.Machine, entry raft.Entry) error {
	if entry.Kind != raft.EntryCommand {
		machine.Skip(entry.Index)
		return nil
	}
	command, err := state.Decode(entry.Data)
	if err != nil {
		return err
	}
	_, err = machine.Apply(entry.Index, command)
	return err
}

func writeReplica(dir string) error {
	options := wal.Options{Dir: filepath.Join(dir, ReplicaDir), ReplicaID: replicaID, SegmentBytes: segmentBytes}
	first := raft.Bootstrap([]raft.Member{
		{ID: 1, Address: "192.0.2.1:7100", Domain: "bern-a"}, {ID: 2, Address: "192.0.2.2:7100", Domain: "thun-b"},
	})
	if err := wal.Create(options, first); err != nil {
		return err
	}
	store, _, err := wal.Open(options)
	if err != nil {
		return err
	}
	if err := writeLog(store, first.Snapshot.Membership); err != nil {
		return err
	}
	if err := store.Close(); err != nil {
		return err
	}
	return writeExpected(dir)
}

// writeExpected records what the running code reads from a copy of the directory.
func writeExpected(dir string) error {
	work, err := os.MkdirTemp("", "formats")
	if err != nil {
		return err
	}
	err = os.CopyFS(work, os.DirFS(filepath.Join(dir, ReplicaDir)))
	var read Replica
	if err == nil {
		read, err = ReadReplica(work)
	}
	if err := errors.Join(err, os.RemoveAll(work)); err != nil {
		return err
	}
	return writeJSON(dir, ReplicaFile, read)
}

func writeLog(store *wal.Store, first raft.Membership) error {
	entries, err := sampleEntries(first)
	if err != nil {
		return err
	}
	machine := state.New()
	for _, entry := range entries {
		hard := raft.HardState{Term: sampleTerm, Vote: 2, Commit: entry.Index - 1}
		if err := store.Save(&raft.Write{HardState: hard, Entries: []raft.Entry{entry}}); err != nil {
			return err
		}
		if err := applyEntry(machine, entry); err != nil {
			return fmt.Errorf("entry %d: %w", entry.Index, err)
		}
		if entry.Index != snapshotAfter {
			continue
		}
		data, err := machine.Capture().Encode()
		if err != nil {
			return err
		}
		meta := raft.SnapshotMeta{Index: entry.Index, Term: entry.Term, Membership: first}
		if err := store.SaveSnapshot(raft.Snapshot{SnapshotMeta: meta, Data: data}); err != nil {
			return err
		}
	}
	return nil
}

// sampleEntries returns entries of all kinds and commands of all kinds.
func sampleEntries(first raft.Membership) ([]raft.Entry, error) {
	entries := []raft.Entry{{Kind: raft.EntryEmpty}}
	for i, command := range sampleCommands() {
		command.UnixMs = int64(1_790_000_000_000 + i)
		data, err := state.Encode(command)
		if err != nil {
			return nil, err
		}
		entries = append(entries, raft.Entry{Kind: raft.EntryCommand, Data: data})
	}
	learner := raft.Membership{HighestID: 3, Members: append(first.Members,
		raft.Member{ID: 3, Learner: true, Address: "192.0.2.3:7100", Domain: "biel-c"})}
	entries = append(entries, raft.Entry{Kind: raft.EntryMembership, Data: raft.EncodeMembership(learner)})
	for i := range entries {
		entries[i].Index, entries[i].Term = uint64(i+1), sampleTerm
	}
	return entries, nil
}

func sampleCommands() []*statepb.Command {
	domain, scheduler, standby := "bern-a", "scheduler-bern-a-1", "scheduler-bern-a-2"
	return []*statepb.Command{
		{Kind: &statepb.Command_ReplicaJoined{ReplicaJoined: &statepb.ReplicaJoined{Id: 1}}},
		{Kind: &statepb.Command_ApplyConfig{ApplyConfig: &controlpb.ApplyConfigRequest{
			ChangeId: "first", Author: "anna", Content: sampleConfiguration(), Comment: "first configuration",
		}}},
		{Kind: &statepb.Command_Submit{Submit: &controlpb.SubmitTasksRequest{Tasks: []*controlpb.TaskSpec{
			sampleTask("done"), sampleTask("evicted"), sampleTask("pending"), sampleTask("cancelled"),
		}}}},
		{Kind: &statepb.Command_Appoint{Appoint: &statepb.Appoint{
			Domain: domain, Scheduler: scheduler, Address: "192.0.2.1:7200", Reason: "first", Clean: true,
		}}},
		{Kind: &statepb.Command_Bind{Bind: &statepb.Bind{Bindings: []*statepb.Binding{
			{Task: "t1", Domain: domain, IfEpoch: 1}, {Task: "t2", Domain: domain, IfEpoch: 1},
		}}}},
		{Kind: &statepb.Command_BeginRequest{BeginRequest: &controlpb.BeginRequestRequest{
			Caller: "shop", IdempotencyKey: "hold-1", BodyHash: []byte("hash"), Holder: "gateway-1", DeadlineMs: 2000,
		}}},
		{Kind: &statepb.Command_BeginRequest{BeginRequest: &controlpb.BeginRequestRequest{
			Caller: "shop", IdempotencyKey: "hold-2", BodyHash: []byte("hash"), Holder: "gateway-1", DeadlineMs: 2000,
		}}},
		{Kind: &statepb.Command_Report{Report: &controlpb.ReportTasksRequest{
			Domain: domain, Scheduler: scheduler, Epoch: 1, Events: sampleEvents(),
		}}},
		{Kind: &statepb.Command_EndRequest{EndRequest: &controlpb.EndRequestRequest{
			Caller: "shop", IdempotencyKey: "hold-1", Holder: "gateway-1",
			Outcome: &controlpb.RequestOutcome{Outcome: "done", Status: 200, Body: []byte("held"), ContentType: "text/plain"},
		}}},
		{Kind: &statepb.Command_ExpireRequests{ExpireRequests: &statepb.ExpireRequests{Requests: []*statepb.RequestKey{
			{Caller: "shop", IdempotencyKey: "hold-2", Holder: "gateway-1"},
		}}}},
		{Kind: &statepb.Command_Cancel{Cancel: &controlpb.CancelTasksRequest{Ids: []string{"t4"}, Caller: "shop"}}},
		{Kind: &statepb.Command_Audit{Audit: &controlpb.RecordAuditRequest{Records: []*controlpb.AuditRecord{
			{Actor: scheduler, Action: "scheduler.drained", Subject: "worker-1", Detail: "by anna", Result: "drained"},
		}}}},
		{Kind: &statepb.Command_NameStandby{NameStandby: &statepb.NameStandby{
			Domain: domain, IfEpoch: 1, IfRevision: 5, Scheduler: standby, Address: "192.0.2.2:7200",
		}}},
		{Kind: &statepb.Command_ConfirmStandby{ConfirmStandby: &statepb.ConfirmStandby{
			Domain: domain, IfEpoch: 1, IfRevision: 14,
		}}},
		{Kind: &statepb.Command_Prune{Prune: &statepb.Prune{TasksThrough: 1, RequestsThrough: 1, Limit: 1}}},
		{Kind: &statepb.Command_ExpireDomain{ExpireDomain: &statepb.ExpireDomain{Domain: domain, IfEpoch: 1}}},
	}
}

func sampleTask(key string) *controlpb.TaskSpec {
	return &controlpb.TaskSpec{
		Caller: "shop", IdempotencyKey: key, Team: "planning", Job: "cutting-plan", Priority: controlpb.Priority_PRIORITY_NORMAL,
		Resources:  &controlpb.Resources{CpuMillis: 1000, MemoryMb: 512, Accelerators: 1},
		ExpectedMs: 1000, Domain: "bern-a", Payload: []byte(`{"run_ms":1000}`),
	}
}

func sampleEvents() []*controlpb.TaskEvent {
	started := &controlpb.Attempt{Epoch: 1, Number: 2}
	return []*controlpb.TaskEvent{
		{Id: "t1", Kind: controlpb.TaskEventKind_TASK_EVENT_KIND_DONE, Attempt: started, Worker: "worker-1", Result: []byte("plan")},
		{
			Id: "t2", Kind: controlpb.TaskEventKind_TASK_EVENT_KIND_EVICTED, Attempt: started, Worker: "worker-1",
			Checkpoint: []byte("half"), Reason: "slowdown",
		},
	}
}
