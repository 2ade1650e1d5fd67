package jobd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch"
	"geraniumwall/relay"
)

// batchLeader is a stand-in for the leader of a batcher. It refuses the heartbeats of workers
// whose id ends with "refused".
type batchLeader struct {
	requests, heartbeats atomic.Int64
	status               int
}

func newTestBatcher(t *testing.T, l *batchLeader) *heartbeatBatcher {
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	mux.HandleFunc("GET "+relay.PathLeader, func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(relay.ClusterView{Leader: address, IsLeader: true})
	})
	mux.HandleFunc("POST "+pathHeartbeats, func(w http.ResponseWriter, r *http.Request) {
		var q heartbeatsRequest
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil || l.status != 0 {
			w.WriteHeader(l.status)
			return
		}
		l.requests.Add(1)
		l.heartbeats.Add(int64(len(q.Heartbeats)))
		var response heartbeatsResponse
		for _, h := range q.Heartbeats {
			response.Accepted = append(response.Accepted, !strings.HasSuffix(h.Worker, "refused"))
		}
		json.NewEncoder(w).Encode(response)
	})
	b := &heartbeatBatcher{relay: relay.New([]string{address}, nil), large: &atomic.Bool{}, log: zerolog.Nop(), onBatch: func(int, error) {}}
	b.large.Store(true)
	return b
}

// Guards against a leader that gets a request for each heartbeat of a large fleet, and against
// results that reach the wrong worker.
func TestHeartbeatBatches(t *testing.T) {
	g := NewWithT(t)
	l := &batchLeader{}
	b := newTestBatcher(t, l)
	const workers = 300
	var wg sync.WaitGroup
	results := make([]error, workers)
	for i := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprint("i-", i)
			if i%10 == 0 {
				id += "refused"
			}
			results[i] = b.pass(context.Background(), dispatch.Heartbeat{Worker: id, Draining: i == 7})
		}()
	}
	wg.Wait()
	for i, err := range results {
		if i%10 == 0 {
			g.Expect(err).To(MatchError(errUnresolved), fmt.Sprint(i))
			continue
		}
		g.Expect(err).NotTo(HaveOccurred(), fmt.Sprint(i))
	}
	g.Expect(l.heartbeats.Load()).To(BeEquivalentTo(workers))
	g.Expect(l.requests.Load()).To(BeNumerically("<", workers/4))
}

// Guards against heartbeats that are lost while the leader runs the previous version, which
// knows no batches.
func TestHeartbeatBatchesUnknownToLeader(t *testing.T) {
	g := NewWithT(t)
	b := newTestBatcher(t, &batchLeader{status: http.StatusNotFound})
	g.Expect(b.enabled()).To(BeTrue())
	g.Expect(b.pass(context.Background(), dispatch.Heartbeat{Worker: "i-1"})).To(MatchError(errNotLeader))
	g.Expect(b.enabled()).To(BeFalse(), "later heartbeats are forwarded one by one")
	b.unsupportedUntil = time.Now()
	b.large.Store(false)
	g.Expect(b.enabled()).To(BeFalse(), "the fleet is small")
}

// Guards against a field of a heartbeat that is lost in a batch.
func TestHeartbeatMessage(t *testing.T) {
	g := NewWithT(t)
	h := dispatch.Heartbeat{
		Worker: "i-1", HostPort: "192.0.2.1:80", Service: "s", Domain: "z", Draining: true, Remaining: 3 * time.Second,
		Capacity: jobs.Resources{MilliCPU: 1, MemoryMB: 2, GPUs: 3}, Labels: []string{"a", "b"}, ClockMS: 4, StartedAtMS: 5, Sequence: 6,
	}
	data, err := json.Marshal(encodeHeartbeat(&h))
	g.Expect(err).NotTo(HaveOccurred())
	var m heartbeatMessage
	g.Expect(json.Unmarshal(data, &m)).To(Succeed())
	g.Expect(m.decode()).To(Equal(h))
}

// Guards against a field of a heartbeat that is lost on its way through a batch.
func TestBatchedHeartbeatKeepsAllFields(t *testing.T) {
	g := NewWithT(t)
	h := dispatch.Heartbeat{
		Worker: "i-1", HostPort: "192.0.2.1:80", Service: "s", Domain: "a", Draining: true, Remaining: 3 * time.Second,
		ColdLeft: 2 * time.Second, Capacity: jobs.Resources{MilliCPU: 1, MemoryMB: 2, GPUs: 3}, Labels: []string{"r1"},
		ClockMS: 4, StartedAtMS: 5, Sequence: 6,
	}
	value := reflect.ValueOf(h)
	for i := range value.NumField() {
		g.Expect(value.Field(i).IsZero()).To(BeFalse(), "set %s in this test", value.Type().Field(i).Name)
	}
	m := encodeHeartbeat(&h)
	g.Expect(m.decode()).To(Equal(h))
}
