package jobd

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"geraniumwall/daemon"
)

// Guards against a join to a real leader that takes long beside silent seeds.
func TestJoinToALeaderBesideSilentSeeds(t *testing.T) {
	g := NewWithT(t)
	peers := &daemon.SwitchHandler{}
	peers.Set(startingHandler)
	listener := httptest.NewServer(peers)
	t.Cleanup(listener.Close)
	address := strings.TrimPrefix(listener.URL, "http://")
	server := startSoleReplica(t, address)
	peers.Set(server.peerHandler(Handlers{Callers: http.NotFoundHandler(), Control: http.NotFoundHandler()}))
	identity, took := timedJoin(t, newSilentAddress(t), newSilentAddress(t), address)
	g.Expect(identity.ReplicaID).To(Equal(uint64(2)))
	g.Expect(identity.Peers).To(Equal(map[uint64]string{1: address, 2: selfAddress}))
	g.Expect(took).To(BeNumerically("<", findBound))
}
