package fakeworker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"geraniumwall/workerapi"
)

const (
	heartbeatEvery   = 500 * time.Millisecond
	heartbeatTimeout = time.Second
	// heartbeatGap bounds the rate of heartbeats sent early because a task ended.
	heartbeatGap = 100 * time.Millisecond
	// keptSequences is how many heartbeats are remembered for starts.
	keptSequences  = 256
	maxAnswerBytes = 4 << 20
)

// beat sends heartbeats to every scheduler.
func (w *Worker) beat(ctx context.Context) {
	for ctx.Err() == nil {
		hb, sent := w.heartbeat(time.Now())
		body, err := json.Marshal(hb)
		if err != nil {
			panic(fmt.Sprintf("encode heartbeat: %v", err))
		}
		for _, address := range w.settings.Schedulers {
			go w.exchange(ctx, address, hb, body, sent)
		}
		w.pause(ctx, heartbeatGap, nil)
		w.pause(ctx, heartbeatEvery-heartbeatGap, w.wake)
	}
}

func (w *Worker) pause(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
	}
}

// heartbeat builds the next heartbeat. Leases count from the time returned, which
// is before it is sent.
func (w *Worker) heartbeat(now time.Time) (*workerapi.Heartbeat, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	w.sent[w.sequence] = now
	delete(w.sent, w.sequence-keptSequences)
	s := w.settings
	hb := &workerapi.Heartbeat{
		Worker: s.Name, Incarnation: w.incarnation, Sequence: w.sequence, Domain: s.Domain, Rack: s.Rack,
		Address: w.Address(), Capacity: s.Capacity, Slots: s.Slots, Connections: s.Connections,
		Services: s.Services, Draining: !w.draining.IsZero(),
		Session: w.session.number, Holder: w.session.holder, Epoch: w.session.epoch,
		SlotsInUse: map[uint64]int{}, Tasks: w.reports(false), Reports: w.serviceReports(now),
		BootUnixMS: w.boot.UnixMilli(),
	}
	for session, n := range w.inUse {
		hb.SlotsInUse[session] = n
	}
	for i := range hb.Tasks {
		hb.Used = hb.Used.Plus(hb.Tasks[i].Used)
	}
	return hb, now
}

// reports lists the attempts. A checkpoint of a running attempt is included only
// while no scheduler has it, or if all are wanted.
func (w *Worker) reports(all bool) []workerapi.TaskReport {
	var list []workerapi.TaskReport
	for _, a := range w.tasks {
		if a.running() {
			a.refresh()
		}
		r := a.report
		if a.running() && !a.unsent && !all {
			r.Checkpoint = nil
		}
		list = append(list, r)
	}
	return list
}

func (w *Worker) exchange(ctx context.Context, address string, hb *workerapi.Heartbeat, body []byte, sent time.Time) {
	var answer workerapi.HeartbeatAnswer
	if err := w.post(ctx, address, workerapi.PathHeartbeat, body, &answer); err != nil {
		w.log.Debug().Err(err).Str("scheduler", address).Msg("heartbeat failed")
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heard[answer.Scheduler] = time.Now()
	if answer.Scheduler != w.session.taskHolder {
		return
	}
	w.renewed(hb, &answer, sent)
}

// renewed takes in the answer of the scheduler that holds the tasks.
func (w *Worker) renewed(hb *workerapi.Heartbeat, answer *workerapi.HeartbeatAnswer, sent time.Time) {
	lease := sent.Add(time.Duration(answer.TaskLeaseMS) * time.Millisecond)
	for _, ref := range answer.Renew {
		if a := w.tasks[ref.ID]; a != nil && a.running() && a.report.Attempt == ref.Attempt && lease.After(a.lease) {
			a.lease = lease
		}
	}
	for _, ref := range answer.Acknowledge {
		if a := w.tasks[ref.ID]; a != nil && !a.running() && a.report.Attempt == ref.Attempt {
			delete(w.tasks, ref.ID)
		}
	}
	for i := range hb.Tasks {
		r := &hb.Tasks[i]
		if a := w.tasks[r.ID]; a != nil && a.unsent && bytes.Equal(r.Checkpoint, a.report.Checkpoint) {
			a.unsent = false
		}
	}
}

// withdraw tells the schedulers that the worker leaves.
func (w *Worker) withdraw(ctx context.Context, done bool) {
	body, err := json.Marshal(workerapi.Withdraw{Worker: w.settings.Name, Incarnation: w.incarnation, Done: done})
	if err != nil {
		panic(fmt.Sprintf("encode withdrawal: %v", err))
	}
	for _, address := range w.settings.Schedulers {
		var none struct{}
		if err := w.post(ctx, address, workerapi.PathWithdraw, body, &none); err != nil {
			w.log.Debug().Err(err).Str("scheduler", address).Msg("withdrawal failed")
		}
	}
}

func (w *Worker) post(ctx context.Context, address, path string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("request to scheduler %s: %w", address, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := w.http.Do(request)
	if err != nil {
		return fmt.Errorf("%s to scheduler %s: %w", path, address, err)
	}
	defer response.Body.Close()
	limited := io.LimitReader(response.Body, maxAnswerBytes)
	if response.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(limited)
		return fmt.Errorf("%s to scheduler %s: status %d: %s", path, address, response.StatusCode, detail)
	}
	if err := json.NewDecoder(limited).Decode(answer); err != nil {
		return fmt.Errorf("answer of scheduler %s to %s: %w", address, path, err)
	}
	return nil
}
