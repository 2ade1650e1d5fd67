package control

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"geraniumwall/rpc/controlpb"
)

// statusStub is a replica that answers Status and nothing else.
type statusStub struct {
	forming
	status *controlpb.StatusResponse
	leader string
}

func (s statusStub) Status(context.Context, *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
	if s.leader != "" {
		return nil, notLeader(s.leader)
	}
	return s.status, nil
}

func serveStatus(t *testing.T, c controlpb.Control) string {
	server := httptest.NewServer(controlpb.NewControlServer(c))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestLostLeader guards against a former leader that lost its disk and restarts
// before the others have noticed: they still name it as leader, so its question
// comes back to itself, and its own empty log must not count as theirs.
func TestLostLeader(t *testing.T) {
	g := NewWithT(t)
	lostReplica := Settings{ReplicaID: 3, Replicas: []ReplicaAddress{{ID: 1}, {ID: 2}, {ID: 3}}}
	itself := serveStatus(t, forming{replica: 3})
	follower := serveStatus(t, statusStub{leader: itself})
	g.Expect(inquire(t.Context(), http.DefaultClient, lostReplica, ReplicaAddress{ID: 1, Address: follower})).To(Equal(findingNone))

	leader := serveStatus(t, statusStub{status: &controlpb.StatusResponse{Replica: 2, Leader: 2, Replicas: []*controlpb.ReplicaStatus{
		{Id: 2, Joined: true, MatchIndex: 9}, {Id: 3, Joined: true, MatchIndex: 9},
	}}})
	named := serveStatus(t, statusStub{leader: leader})
	g.Expect(inquire(t.Context(), http.DefaultClient, lostReplica, ReplicaAddress{ID: 1, Address: named})).To(Equal(findingJoined))

	empty := serveStatus(t, forming{replica: 1})
	g.Expect(inquire(t.Context(), http.DefaultClient, lostReplica, ReplicaAddress{ID: 1, Address: empty})).To(Equal(findingEmpty))
}

// TestRemovedReplica guards against two of the first replicas that were removed, start again
// with empty disks and elect each other by the first membership: a second control plane
// without a configuration.
func TestRemovedReplica(t *testing.T) {
	g := NewWithT(t)
	first := []ReplicaAddress{{ID: 1}, {ID: 2}, {ID: 3}}
	ask := func(id uint64, confirmed bool) finding {
		leader := serveStatus(t, statusStub{status: &controlpb.StatusResponse{
			Replica: 3, Leader: 3, Confirmed: confirmed, Replicas: []*controlpb.ReplicaStatus{
				{Id: 3, Joined: true, MatchIndex: 9, Voter: true}, {Id: 4, Joined: true, MatchIndex: 9, Voter: true},
			},
		}})
		return inquire(t.Context(), http.DefaultClient, Settings{ReplicaID: id, Replicas: first}, ReplicaAddress{ID: 3, Address: leader})
	}
	g.Expect(ask(1, true)).To(Equal(findingRemoved))
	g.Expect(ask(1, false)).To(Equal(findingNone), "a leader that may be cut off")
	g.Expect(ask(5, true)).To(Equal(findingNew))
}

// TestLostVoter guards against an added replica that loses its disk right after its
// promotion, while no leader has recorded that it stored part of the log: it must
// not start empty under an id that may have voted.
func TestLostVoter(t *testing.T) {
	g := NewWithT(t)
	added := Settings{ReplicaID: 4, Replicas: []ReplicaAddress{{ID: 1}, {ID: 2}, {ID: 3}}}
	ask := func(voter bool) finding {
		leader := serveStatus(t, statusStub{status: &controlpb.StatusResponse{
			Replica: 1, Leader: 1, Confirmed: true, Replicas: []*controlpb.ReplicaStatus{
				{Id: 1, Joined: true, MatchIndex: 9, Voter: true}, {Id: 4, Voter: voter},
			},
		}})
		return inquire(t.Context(), http.DefaultClient, added, ReplicaAddress{ID: 1, Address: leader})
	}
	g.Expect(ask(true)).To(Equal(findingJoined))
	g.Expect(ask(false)).To(Equal(findingNew))
}
