package jobd

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/jobs/dispatch"
)

// noWorkers is a WorkerClient that reaches no worker.
type noWorkers struct{}

func (noWorkers) Do(_ context.Context, o dispatch.Order) dispatch.Reply {
	return dispatch.Reply{Order: o, Status: dispatch.Expired}
}

// startSoleReplica starts the only replica of a log and waits until it leads.
func startSoleReplica(t *testing.T, address string) *Server {
	t.Helper()
	g := NewWithT(t)
	s := &Settings{
		Name: "r", PeerListen: address, Seeds: []string{address}, FirstStart: true, DataDir: t.TempDir(), HeartbeatMS: 500, LeaseMS: 2000,
	}
	identity, store, stored, err := openReplica(context.Background(), s, nil, zerolog.Nop())
	g.Expect(err).NotTo(HaveOccurred())
	server, err := New(Options{
		Settings: s, Identity: identity, Storage: store, Stored: stored, Workers: noWorkers{}, Log: zerolog.Nop(),
		Fatal: func(err error) { t.Error(err) }, Removed: func(map[uint64]string) {},
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		server.Stop()
		g.Expect(store.Close()).To(Succeed())
	})
	g.Eventually(func() bool {
		v, err := server.clusterView(context.Background())
		return err == nil && v.IsLeader
	}).WithTimeout(5 * time.Second).WithPolling(10 * time.Millisecond).Should(BeTrue())
	return server
}

// postJoin sends one request to join.
func postJoin(t *testing.T, s *Server, q joinRequest) joinResponse {
	t.Helper()
	g := NewWithT(t)
	body, err := json.Marshal(q)
	g.Expect(err).NotTo(HaveOccurred())
	recorder := httptest.NewRecorder()
	s.serveJoin(recorder, httptest.NewRequest(http.MethodPost, pathJoin, bytes.NewReader(body)))
	g.Expect(recorder.Code).To(Equal(http.StatusOK), recorder.Body.String())
	var response joinResponse
	g.Expect(json.Unmarshal(recorder.Body.Bytes(), &response)).To(Succeed())
	return response
}

// Guards against a leader that adds a replica and lets it ask again until the change is
// committed.
func TestLeaderAnswersOnceTheJoinIsCommitted(t *testing.T) {
	g := NewWithT(t)
	server := startSoleReplica(t, "127.0.0.1:2")
	q := joinRequest{Address: selfAddress, Nonce: "n"}
	start := time.Now()
	response := postJoin(t, server, q)
	t.Logf("answered in %v", time.Since(start))
	g.Expect(response.ReplicaID).To(Equal(uint64(2)))
	g.Expect(response.Members).To(HaveKeyWithValue(uint64(2), selfAddress))
	g.Expect(postJoin(t, server, q).ReplicaID).To(Equal(uint64(2)), "a repetition gets the same id")
}
