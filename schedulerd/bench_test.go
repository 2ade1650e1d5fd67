package schedulerd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"geraniumwall/lease"
	"geraniumwall/policy/firstfit"
	"geraniumwall/scheduler"
	"geraniumwall/workerapi"
)

// Size of a domain at the target scale, see docs/design.md 1.6.
const (
	workerCount    = 100
	tasksPerWorker = 31
)

// benchHeartbeat returns the full heartbeat of a worker that runs tasksPerWorker tasks.
func benchHeartbeat(i int) *workerapi.Heartbeat {
	hb := &workerapi.Heartbeat{
		Worker: fmt.Sprintf("w%03d", i), Incarnation: "1", Domain: testDomain, Address: fmt.Sprintf("w%03d:1", i),
		Capacity: workerapi.Resources{CPUMillis: 32000, MemoryMB: 125000}, Slots: 8, Connections: 64,
		Services: []string{"quote"}, Format: workerapi.FormatCompact,
	}
	for n := range tasksPerWorker {
		size := workerapi.Resources{CPUMillis: 100, MemoryMB: 100}
		hb.Tasks = append(hb.Tasks, workerapi.TaskReport{
			ID: fmt.Sprintf("t%03d-%02d", i, n), Attempt: workerapi.Attempt{Epoch: 1, Number: 1},
			Phase: workerapi.PhaseRunning, Job: "plan", Resources: size, Used: size,
		})
	}
	return hb
}

// benchHandler returns a handler of heartbeats whose core is active and has adopted the
// workers' tasks.
func benchHandler(b *testing.B, workers []*workerapi.Heartbeat) *http.ServeMux {
	core := scheduler.New(0, scheduler.Settings{Name: "s1", Identity: "s1#1", Domain: testDomain}, firstfit.New())
	leases := lease.Answer{
		Role: lease.RoleActive, Epoch: 1, Revision: 1, Active: "s1",
		SchedulerLease: time.Hour, DomainLease: time.Hour,
	}
	core.ControlRenewed(0, 0, lease.Answer{})
	core.ControlRenewed(2*time.Second, 2*time.Second, leases)
	var tasks []scheduler.BoundTask
	for _, w := range workers {
		for _, r := range w.Tasks {
			tasks = append(tasks, scheduler.BoundTask{ID: r.ID, Job: r.Job, Size: r.Resources, Domain: testDomain, Bound: true})
		}
	}
	core.SyncTasks(2*time.Second, 1, tasks, true)
	perform := func(a scheduler.Action) {
		if send, isAttach := a.(scheduler.SendAttach); isAttach {
			core.AttachAnswered(2*time.Second, scheduler.AttachResult{Target: send.Target, Body: send.Body, Answer: workerapi.AttachAnswer{
				Accepted: true, Session: 1, Holder: "s1#1", Epoch: 1, Incarnation: "1",
			}})
		}
	}
	ref := spawnCore(&coreActor{core: core, clock: clock{start: time.Now().Add(-2 * time.Second)}, perform: perform})
	b.Cleanup(ref.stop)
	m, err := newMetrics()
	if err != nil {
		b.Fatal(err)
	}
	mux := http.NewServeMux()
	(&workerHandler{core: ref, metrics: m, log: zerolog.Nop(), deltas: newHeartbeatDecoder()}).register(mux)
	for _, w := range workers {
		postHeartbeat(b, mux, w)
		<-ref.send(func(now time.Duration, core *scheduler.Core) { core.Tick(now) })
		w.Session, w.Holder, w.Epoch = 1, "s1#1", 1
		postHeartbeat(b, mux, w)
	}
	return mux
}

func postHeartbeat(b *testing.B, mux *http.ServeMux, hb *workerapi.Heartbeat) []byte {
	hb.Sequence++
	body, _ := json.Marshal(hb)
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, workerapi.PathHeartbeat, bytes.NewReader(body)))
	if recorder.Code != http.StatusOK {
		b.Fatalf("status %d: %s", recorder.Code, recorder.Body)
	}
	return recorder.Body.Bytes()
}

// BenchmarkHeartbeat measures the handling of one delta-encoded heartbeat of an
// unchanged worker: JSON decoding, delta decoding, the call on the core and the
// response. It includes the encoding of the request, about 140 bytes.
func BenchmarkHeartbeat(b *testing.B) {
	workers := make([]*workerapi.Heartbeat, workerCount)
	for i := range workers {
		workers[i] = benchHeartbeat(i)
	}
	mux := benchHandler(b, workers)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		w := workers[i%workerCount]
		unchanged := &workerapi.Heartbeat{Worker: w.Worker, Incarnation: w.Incarnation, Base: w.Sequence, Sequence: w.Sequence}
		if response := postHeartbeat(b, mux, unchanged); !bytes.Contains(response, []byte("renew_all")) {
			b.Fatalf("the leases of the tasks were not renewed: %s", response)
		}
		w.Sequence++
	}
}
