package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// worker is one machine with a worker of the platform. Its lives follow each other under
// one id and address. The platform's lock guards it.
type worker struct {
	p       *platform
	id      string
	address string
	service string
	labels  []string
	cpu     int64
	memMB   int64
	control []string

	up       bool
	life     int
	born     int64
	start    time.Time
	server   *http.Server
	cancel   context.CancelFunc
	fence    int64
	lease    int64
	running  map[taskName]*run
	barred   map[taskName]int
	finished []finished
	ends     int64
	changed  chan struct{}
	draining bool
}

type finished struct {
	number     int64
	name       taskName
	attempt    int
	how        string
	checkpoint string
}

const callWithin = time.Second

func (p *platform) addWorker(i int, service, rack string, port int, control []string) *worker {
	w := &worker{
		p: p, id: fmt.Sprintf("i-%04d", i+1), address: fmt.Sprintf("%s:%d", hostAddress(workerGroup, i), port), service: service,
		labels: []string{"a", rack}, cpu: 32000, memMB: 128000, control: control,
	}
	p.mu.Lock()
	p.workers = append(p.workers, w)
	p.mu.Unlock()
	return w
}

// begin starts a life of the worker.
func (w *worker) begin() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return fmt.Errorf("worker %s: %w", w.id, err)
	}
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	w.life++
	life := w.life
	ctx, cancel := context.WithCancel(context.Background())
	w.up, w.draining, w.cancel = true, false, cancel
	w.start, w.born = time.Now(), time.Now().UnixMilli()
	w.fence, w.lease, w.ends, w.finished = 0, 0, 0, nil
	w.running, w.barred, w.changed = map[taskName]*run{}, map[taskName]int{}, make(chan struct{})
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(life, rw, r) })}
	w.p.rec.add("%s: life %d begins at %s, labels %v", w.id, life, w.address, w.labels)
	go w.server.Serve(l) //nolint:errcheck // it ends with the life
	go w.beat(ctx, life)
	return nil
}

// crash ends the life and everything that runs in it.
func (w *worker) crash() {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	w.cancel()
	w.p.rec.add("%s: crashes", w.id)
	for _, r := range w.running {
		w.p.rec.add("%s: run %d of %v is lost with the worker", w.id, r.attempt, r.name)
		whole := r.phase.Gang && w.p.gangPresent(r)
		w.p.remove(r)
		if whole {
			w.p.endGang(r, "broken")
		}
	}
	w.server.Close()
}

func (w *worker) clock(now time.Time) int64 { return 1000 + now.Sub(w.start).Milliseconds() }

// expire ends what runs when the lease is over.
func (w *worker) expire(now time.Time) {
	if !w.up || w.lease > w.clock(now) {
		return
	}
	for _, r := range w.running {
		w.p.end(r, "lapsed")
	}
}

type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	Fence      int64  `json:"fence"`
	DeadlineMS int64  `json:"deadline-ms"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"last-seen"`
	WaitMS     int64  `json:"wait-ms"`
	Percent    int    `json:"percent"`
}

func (w *worker) serve(life int, rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Header.Get("X-Expect-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.Unmarshal(body, &o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	status, answer := w.execute(life, r, &o)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	data, err := json.Marshal(answer)
	if err != nil {
		panic(err)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}

func (w *worker) execute(life int, r *http.Request, o *order) (int, map[string]any) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	if !w.up || w.life != life {
		return 0, nil
	}
	now := time.Now()
	w.expire(now)
	answer := map[string]any{"clock-ms": w.clock(now)}
	if o.Fence < w.fence {
		answer["reason"] = "fence"
		return http.StatusConflict, answer
	}
	w.fence = o.Fence
	switch r.URL.Path {
	case "/run-start":
		if reason := w.startTask(now, o); reason != "" {
			w.p.rec.add("%s: start of run %d of %s rejected: %s", w.id, o.Attempt, o.Task, reason)
			answer["reason"] = reason
			return http.StatusConflict, answer
		}
	case "/run-stop":
		w.stopTask(now, o)
	case "/hold":
		return w.hold(life, r.Context(), o)
	}
	return http.StatusOK, answer
}

func (w *worker) renew(now time.Time, deadline int64) {
	if deadline > 0 {
		w.lease = max(w.lease, min(deadline, w.clock(now)+holdMaxMS))
	}
}

func parseTask(text string) (taskName, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return taskName{}, fmt.Errorf("task %q", text)
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil {
			return taskName{}, fmt.Errorf("task %q: %w", text, err)
		}
		numbers[i] = n
	}
	return taskName{parts[0], numbers[0], numbers[1], numbers[2]}, nil
}

func (w *worker) startTask(now time.Time, o *order) string {
	n, err := parseTask(o.Task)
	if err != nil {
		return err.Error()
	}
	if r := w.running[n]; r != nil && r.attempt == o.Attempt {
		return ""
	}
	w.renew(now, o.DeadlineMS)
	if w.lease <= w.clock(now) {
		return "late"
	}
	if o.Attempt <= w.barred[n] {
		return "old"
	}
	ph := w.p.noteStart(w, n, o.Attempt, o.Spec, o.Checkpoint)
	if ph == nil {
		return "room"
	}
	r := &run{name: n, attempt: o.Attempt, worker: w, phase: ph, startedAt: now, worksFrom: now, checkpoint: o.Checkpoint, given: o.Checkpoint}
	if o.Checkpoint != "" {
		r.progress = checkpointWork(o.Checkpoint)
		r.worksFrom = now.Add(restoreTime)
	}
	if ph.LongRunning {
		r.worksFrom = now.Add(startupTime)
	}
	w.running[n] = r
	w.p.runs[n] = append(w.p.runs[n], r)
	return ""
}

func (w *worker) stopTask(now time.Time, o *order) {
	n, err := parseTask(o.Task)
	if err != nil {
		return
	}
	w.barred[n] = max(w.barred[n], o.Attempt)
	if r := w.running[n]; r != nil && r.attempt <= o.Attempt && r.stopAt.IsZero() {
		w.p.rec.add("%s: told to stop run %d of %v", w.id, r.attempt, n)
		r.stopAt = now.Add(stopTime / 2)
	}
}

// hold renews the lease, forgets ends and returns the lists once there is an end.
func (w *worker) hold(life int, ctx context.Context, o *order) (int, map[string]any) {
	w.renew(time.Now(), o.DeadlineMS)
	for len(w.finished) > 0 && w.finished[0].number <= o.LastSeen {
		w.finished = w.finished[1:]
	}
	for until := time.Now().Add(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond); len(w.finished) == 0; {
		changed, left := w.changed, time.Until(until)
		if left <= 0 || ctx.Err() != nil {
			break
		}
		w.p.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(left):
		}
		w.p.mu.Lock()
		if !w.up || w.life != life {
			return 0, nil
		}
	}
	running, ended := [][]any{}, [][]any{}
	for n, r := range w.running {
		running = append(running, []any{n.String(), r.attempt, r.checkpoint, r.percent(), r.phase.CPU})
	}
	for _, f := range w.finished[:min(500, len(w.finished))] {
		ended = append(ended, []any{f.number, f.name.String(), f.attempt, f.how, f.checkpoint})
	}
	return http.StatusOK, map[string]any{"clock-ms": w.clock(time.Now()), "born": w.born, "running": running, "finished": ended}
}

func (r *run) percent() int64 {
	if r.phase.LongRunning {
		if r.progress > 0 {
			return 100
		}
		return 0
	}
	return min(99, 100*r.progress.Milliseconds()/max(1, r.phase.work))
}

// beat sends heartbeats until the life ends.
func (w *worker) beat(ctx context.Context, life int) {
	client := &http.Client{Timeout: callWithin, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	preferred := ""
	for seq := 1; ; seq++ {
		targets := w.control
		if preferred != "" {
			targets = append([]string{preferred}, targets...)
		}
		preferred = ""
		for i := range targets {
			target := targets[i]
			if i > 0 || len(targets) == len(w.control) {
				target = targets[(i+seq)%len(targets)]
			}
			if next, ok := w.report(ctx, client, target, seq); ok {
				preferred = next
				break
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatMS * time.Millisecond):
		}
	}
}

func (w *worker) report(ctx context.Context, client *http.Client, target string, seq int) (next string, ok bool) {
	w.p.mu.Lock()
	state := "ready"
	if w.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": w.service, "addr": w.address, "zone": "zone-1", "version": "v1", "slots": 8, "state": state, "cold-left-ms": 0,
		"capacity": map[string]any{"cpu": w.cpu, "mem-mb": w.memMB, "gpu": 0}, "labels": w.labels,
		"clock-ms": w.clock(time.Now()), "born": w.born, "seq": seq,
	})
	w.p.mu.Unlock()
	if err != nil {
		return "", false
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+target+"/instances/"+w.id, bytes.NewReader(body))
	if err != nil {
		return "", false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return "", false
	}
	defer response.Body.Close()
	var answer struct {
		Address string `json:"heartbeat-addr"`
	}
	data, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode/100 != 2 || json.Unmarshal(data, &answer) != nil {
		return "", false
	}
	return answer.Address, true
}
