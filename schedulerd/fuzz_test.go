package schedulerd

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"geraniumwall/lease"
	"geraniumwall/policy/firstfit"
	"geraniumwall/scheduler"
	"geraniumwall/workerapi"
)

// fuzzCore returns an active core, so that a decoded heartbeat reaches every check.
func fuzzCore() *scheduler.Core {
	c := scheduler.New(0, scheduler.Settings{Name: "s", Identity: "s#1", Domain: testDomain}, firstfit.New())
	c.ControlRenewed(time.Second, time.Second, lease.Answer{})
	c.ControlRenewed(2*time.Second, 2*time.Second, lease.Answer{
		Role: lease.RoleActive, Epoch: 1, Revision: 1, Active: "s",
		SchedulerLease: lease.SchedulerLease, DomainLease: lease.DomainLease,
	})
	c.SyncTasks(2*time.Second, 1, nil, true)
	return c
}

// FuzzHeartbeat guards against a heartbeat that breaks an invariant of the core or
// produces a response that cannot be encoded.
func FuzzHeartbeat(f *testing.F) {
	whole, err := json.Marshal(workerapi.Heartbeat{
		Worker: "w", Incarnation: "1", Sequence: 1, Domain: testDomain, Address: "127.0.0.1:1", Slots: 2, Connections: 4,
		Capacity: workerapi.Resources{CPUMillis: 100, MemoryMB: 100}, Session: 1, Holder: "s#1", Epoch: 1,
		SlotsInUse: map[uint64]int{1: 1}, Tasks: []workerapi.TaskReport{{ID: "t", Phase: workerapi.PhaseRunning}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add([]byte(`{"worker":"w","slots":-1}`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, body []byte) {
		hb, err := decodeHeartbeat(bytes.NewReader(body))
		if err != nil {
			return
		}
		c := fuzzCore()
		for i := range 3 {
			now := time.Duration(2100+400*i) * time.Millisecond
			response, err := c.Heartbeat(now, hb)
			if err != nil {
				return
			}
			c.AttachAnswered(now, scheduler.AttachResult{
				Target: scheduler.Target{Worker: hb.Worker, Incarnation: hb.Incarnation, Address: hb.Address},
				Body:   workerapi.Attach{Scheduler: "s#1", Epoch: 1},
				Answer: workerapi.AttachAnswer{
					Accepted: true, Session: 1, Holder: "s#1", Epoch: 1, Incarnation: hb.Incarnation,
					Tasks: hb.Tasks, SlotsInUse: hb.SlotsInUse,
				},
			})
			c.Tick(now)
			if _, err := json.Marshal(response); err != nil {
				t.Fatal(err)
			}
			hb.Sequence++
		}
	})
}

// FuzzWithdraw guards against a withdrawal whose response is not valid JSON.
func FuzzWithdraw(f *testing.F) {
	f.Add([]byte(`{"worker":"w","incarnation":"1","done":true}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := decodeWithdraw(bytes.NewReader(body))
		w := httptest.NewRecorder()
		if err != nil {
			writeProblem(w, http.StatusBadRequest, "invalid_withdraw", err)
		} else {
			writeResult(w, struct{}{}, fuzzCore().Withdraw(3*time.Second, m))
		}
		if !json.Valid(w.Body.Bytes()) {
			t.Fatalf("answer is not JSON: %s", w.Body)
		}
	})
}
