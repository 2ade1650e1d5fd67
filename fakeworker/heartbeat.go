package fakeworker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"geraniumwall/transport"
	"geraniumwall/workerapi"
	"geraniumwall/workerapi/delta"
)

const (
	heartbeatTimeout = time.Second
	// heartbeatGap bounds the rate of heartbeats sent early because a task ended.
	heartbeatGap = 100 * time.Millisecond
	// heartbeatPing is above the interval of heartbeats to the active scheduler, so
	// that a working connection to it needs no pings.
	heartbeatPing  = 1200 * time.Millisecond
	maxAnswerBytes = 4 << 20
)

// beat sends heartbeats to one scheduler.
func (w *Worker) beat(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		hb, body := w.heartbeat(time.Now(), l)
		go w.exchange(ctx, l, hb, body)
		w.pause(ctx, heartbeatGap, nil)
		w.pause(ctx, w.interval(l)-heartbeatGap, l.wake)
	}
}

func (w *Worker) interval(l *link) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return l.interval
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

// heartbeat builds and encodes the next heartbeat to a scheduler. Tasks and
// measurements go to the scheduler that holds the tasks.
func (w *Worker) heartbeat(now time.Time, l *link) (*workerapi.Heartbeat, []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.settings
	hb := &workerapi.Heartbeat{
		Domain: s.Domain, Rack: s.Rack, Address: w.Address(), Connections: s.Connections,
		Services: s.Services, BootUnixMS: w.boot.UnixMilli(),
	}
	w.machine.Heartbeat(now.Sub(w.boot), hb)
	if l.standsBy(w.machine.TaskHolder()) {
		hb.Tasks, hb.Used, hb.WithoutTasks = nil, workerapi.Resources{}, true
	} else {
		hb.Reports = w.serviceReports(now)
	}
	body, err := json.Marshal(l.sender.Shorten(now.Sub(w.boot), hb))
	if err != nil {
		panic(fmt.Sprintf("encode heartbeat: %v", err))
	}
	return hb, body
}

func (w *Worker) exchange(ctx context.Context, l *link, hb *workerapi.Heartbeat, body []byte) {
	var answer workerapi.HeartbeatAnswer
	err := w.post(ctx, l.address, workerapi.PathHeartbeat, body, &answer)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		l.failed(hb.Sequence)
		w.log.Debug().Err(err).Str("scheduler", l.address).Msg("heartbeat failed")
		return
	}
	delta.Expand(hb, &answer)
	l.answered(hb.Sequence, &answer)
	if answer.SendWhole {
		return
	}
	w.machine.Answered(w.now(), hb, &answer)
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
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, transport.URL(address)+path, bytes.NewReader(body))
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
