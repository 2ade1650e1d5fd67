package control

import (
	"context"
	"time"

	"geraniumwall/raft"
	"geraniumwall/rpc/controlpb"
	"google.golang.org/protobuf/proto"
)

// Step takes in messages of another replica.
func (s *Server) Step(_ context.Context, q *controlpb.StepRequest) (*controlpb.StepResponse, error) {
	messages := make([]raft.Message, 0, len(q.GetMessages()))
	for _, data := range q.GetMessages() {
		m, err := raft.DecodeMessage(data)
		if err != nil {
			return nil, invalid("%v", err)
		}
		messages = append(messages, m)
	}
	s.processes.merge(s.options.Now(), q.GetProcesses())
	if s.view.Load().status.Committed.Removed(q.GetFrom()) {
		return &controlpb.StepResponse{Removed: true}, nil
	}
	s.send(&received{messages})
	return &controlpb.StepResponse{}, nil
}

// confirmWithin bounds the wait for the heartbeat round of Status, so that it
// still answers its callers when the quorum is lost.
const confirmWithin = 500 * time.Millisecond

// Status describes the replicas, domains and processes as the leader knows them.
// It is linearizable if it says that it is confirmed. A replica that knows no
// leader, or a leader without a quorum, answers with what it has applied itself.
func (s *Server) Status(ctx context.Context, _ *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
	v := s.view.Load()
	if !v.ready && v.leaderAddress != "" && v.status.Leader != v.status.ID {
		return nil, notLeader(v.leaderAddress)
	}
	if v.ready {
		bounded, cancel := context.WithTimeout(ctx, confirmWithin)
		defer cancel()
		answer, err := lookup(bounded, s, s.describe)
		if err == nil {
			answer.Confirmed = true
			return answer, nil
		}
	}
	return s.LocalStatus(ctx)
}

// LocalStatus describes the state as this replica knows it.
func (s *Server) LocalStatus(ctx context.Context) (*controlpb.StatusResponse, error) {
	return peek(ctx, s, s.describe)
}

func (s *Server) describe(r *replica) (*controlpb.StatusResponse, error) {
	n := r.node.Status()
	drained, _ := r.machine.Drained()
	return &controlpb.StatusResponse{
		Replica: n.ID, Leader: n.Leader, Term: n.Term, CommitIndex: n.Commit, AppliedIndex: r.machine.Index(),
		Replicas: r.replicaStatus(n), Domains: r.domainStatus(), Processes: s.reports(),
		ConfigVersion: r.machine.Config().GetVersion(), TaskCounts: r.machine.TaskCounts(), Drained: drained,
	}, nil
}

// States of a replica as its leader sees it.
const (
	stateLeader  = "leader"
	stateAnswers = "answers"
	stateSilent  = "silent"
	// stateUnknown is that of a replica that has not answered a new leader yet.
	stateUnknown = "unknown"
)

func (r *replica) replicaStatus(n raft.Status) []*controlpb.ReplicaStatus {
	match := map[uint64]uint64{n.ID: n.Last}
	states := map[uint64]string{}
	silence := map[uint64]int64{}
	if n.Role == raft.RoleLeader {
		states[n.ID] = stateLeader
	}
	for _, p := range n.Peers {
		match[p.ID] = p.Match
		states[p.ID] = peerState(p)
		silence[p.ID] = p.Silence.Milliseconds()
	}
	var list []*controlpb.ReplicaStatus
	for _, m := range n.Membership.Members {
		list = append(list, &controlpb.ReplicaStatus{
			Id: m.ID, Address: m.Address, Domain: m.Domain, Voter: !m.Learner,
			State: states[m.ID], SilenceMs: silence[m.ID],
			MatchIndex: match[m.ID], Joined: r.machine.Joined(m.ID) || m.ID != n.ID && match[m.ID] > 0,
		})
	}
	return list
}

func peerState(p raft.PeerStatus) string {
	switch {
	case !p.Active:
		return stateSilent
	case !p.Answered:
		return stateUnknown
	}
	return stateAnswers
}

func (r *replica) domainStatus() []*controlpb.DomainStatus {
	now := r.now()
	var list []*controlpb.DomainStatus
	for _, d := range r.machine.Domains() {
		status := &controlpb.DomainStatus{
			Domain: d.GetDomain(), Epoch: d.GetEpoch(), Active: d.GetActive(), Standby: d.GetStandby(),
		}
		if r.lead != nil {
			v := r.lead.domain(d.GetDomain())
			status.LeaseAgeMs = v.grantor.Age(now).Round(time.Millisecond).Milliseconds()
			status.Load = v.load
		}
		list = append(list, status)
	}
	return list
}

// ChangeMembers adds, promotes or removes one replica.
func (s *Server) ChangeMembers(
	ctx context.Context, q *controlpb.ChangeMembersRequest,
) (*controlpb.ChangeMembersResponse, error) {
	kinds := map[string]raft.ChangeKind{
		"add_learner": raft.AddLearner, "promote": raft.PromoteLearner, "remove": raft.RemoveMember,
	}
	kind, known := kinds[q.GetChange()]
	if !known {
		return nil, invalid("change %q is not known; use add_learner, promote or remove", q.GetChange())
	}
	change := raft.MemberChange{
		Kind: kind, Member: raft.Member{ID: q.GetId(), Address: q.GetAddress(), Domain: q.GetDomain()},
	}
	_, err := s.await(ctx, func(done func(proto.Message, error)) { s.send(&changeMembers{change, done}) })
	if err != nil {
		return nil, err
	}
	return peek(ctx, s, func(r *replica) (*controlpb.ChangeMembersResponse, error) {
		return &controlpb.ChangeMembersResponse{Replicas: r.replicaStatus(r.node.Status())}, nil
	})
}
