package jobd

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/relay"
)

const (
	// selfAddress is the address of the joining replica in these tests.
	selfAddress = "127.0.0.1:1"
	// findBound is how long a joining replica may take on loopback beside candidates that are
	// gone. It is the timeout of one request to a candidate.
	findBound = 500 * time.Millisecond
)

// fakeMember serves the requests of a joining replica in place of a member.
type fakeMember struct {
	server *httptest.Server
	mu     sync.Mutex
	view   relay.ClusterView
	// grant is the response to requests to join.
	grant joinResponse
	// joins counts the requests to join.
	joins int
}

func newFakeMember(t *testing.T) *fakeMember {
	t.Helper()
	m := &fakeMember{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+relay.PathLeader, func(w http.ResponseWriter, _ *http.Request) {
		m.mu.Lock()
		defer m.mu.Unlock()
		_ = json.NewEncoder(w).Encode(m.view)
	})
	mux.HandleFunc("POST "+pathJoin, func(w http.ResponseWriter, _ *http.Request) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.joins++
		_ = json.NewEncoder(w).Encode(m.grant)
	})
	m.server = httptest.NewServer(mux)
	t.Cleanup(m.server.Close)
	return m
}

func (m *fakeMember) address() string { return strings.TrimPrefix(m.server.URL, "http://") }

// lead lets the member lead and grant the id.
func (m *fakeMember) lead(id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view = relay.ClusterView{Leader: m.address(), Members: []string{m.address()}, IsLeader: true}
	m.grant = joinResponse{ReplicaID: id, Members: map[uint64]string{1: m.address()}, Leader: m.address()}
}

// follow lets the member name another one as leader.
func (m *fakeMember) follow(leader string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view = relay.ClusterView{Leader: leader, Members: []string{m.address(), leader}}
	m.grant = joinResponse{Members: map[uint64]string{1: m.address(), 2: leader}, Leader: leader}
}

func (m *fakeMember) joinCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.joins
}

// newSilentAddress returns an address that accepts connections and never answers.
func newSilentAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// timedJoin joins and returns the identity and how long it took.
func timedJoin(t *testing.T, seeds ...string) (Identity, time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	start := time.Now()
	identity, err := join(ctx, &Settings{PeerListen: selfAddress}, seeds, false, nil, zerolog.Nop())
	took := time.Since(start)
	t.Logf("joined in %v: %v", took, err)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return identity, took
}

// Guards against seeds that don't answer and delay the request to the one that does.
func TestJoinIsNotDelayedBySilentSeeds(t *testing.T) {
	g := NewWithT(t)
	leader := newFakeMember(t)
	leader.lead(7)
	identity, took := timedJoin(t, newSilentAddress(t), newSilentAddress(t), leader.address())
	g.Expect(identity.ReplicaID).To(Equal(uint64(7)))
	g.Expect(took).To(BeNumerically("<", findBound))
}

// Guards against a leader that is only known to others and is asked after all the seeds.
func TestJoinFollowsTheLeaderHint(t *testing.T) {
	g := NewWithT(t)
	leader, follower := newFakeMember(t), newFakeMember(t)
	leader.lead(7)
	follower.follow(leader.address())
	identity, took := timedJoin(t, newSilentAddress(t), follower.address(), newSilentAddress(t))
	g.Expect(identity.ReplicaID).To(Equal(uint64(7)))
	g.Expect(took).To(BeNumerically("<", findBound))
	g.Expect(follower.joinCount()).To(BeZero(), "only the leader may add a replica")
}

// Guards against a member that names a leader that is gone: other members are asked as well.
func TestJoinAsksTheMembersOfAView(t *testing.T) {
	g := NewWithT(t)
	leader, follower := newFakeMember(t), newFakeMember(t)
	leader.lead(7)
	follower.view = relay.ClusterView{Leader: newSilentAddress(t), Members: []string{"x y:1", "", selfAddress, leader.address()}}
	follower.grant = joinResponse{Members: map[uint64]string{2: leader.address()}, Leader: follower.view.Leader}
	identity, took := timedJoin(t, follower.address())
	g.Expect(identity.ReplicaID).To(Equal(uint64(7)))
	g.Expect(took).To(BeNumerically("<", findBound))
}

// Guards against two ids that two replicas grant at once: the later one replaces the other,
// and the joined replica would be removed again.
func TestJoinAsksOneLeaderAtATime(t *testing.T) {
	g := NewWithT(t)
	former, leader := newFakeMember(t), newFakeMember(t)
	leader.lead(8)
	former.follow(leader.address())
	former.grant.ReplicaID = 7
	identity, _ := timedJoin(t, former.address(), leader.address())
	g.Expect(identity.ReplicaID).To(Equal(uint64(8)))
	g.Expect(former.joinCount()).To(BeZero())
}

// Guards against too many candidates, and against seeds that are gone and leave no room.
func TestJoinReplacesSilentCandidates(t *testing.T) {
	g := NewWithT(t)
	leader, follower := newFakeMember(t), newFakeMember(t)
	leader.lead(7)
	follower.follow(leader.address())
	var seeds []string
	for range 40 {
		seeds = append(seeds, newSilentAddress(t))
	}
	identity, _ := timedJoin(t, append([]string{follower.address()}, seeds...)...)
	g.Expect(identity.ReplicaID).To(Equal(uint64(7)))
}
