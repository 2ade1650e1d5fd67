package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker stands in for a worker. Its lives follow each other at one address, under one id.
//
// A spec tells what each task of the job does: "done MS" ends as done after this time,
// "last" goes on until it is stopped, and "fail LEAST MOST" goes on and fails by its own
// fault after a random time in between.
type worker struct {
	w           *world
	id, address string
	cpu, mem    int
	labels      []string

	mu   sync.Mutex
	life *life
}

type life struct {
	server    *http.Server
	ctx       context.Context
	cancel    context.CancelFunc
	born      int64
	start     time.Time
	seq       int
	fence     int64
	lease     int64
	running   map[string]*run
	barred    map[string]int
	finished  []end
	ends      int64
	changed   chan struct{}
	preferred string
}

type run struct {
	attempt  int
	began    time.Time
	length   time.Duration // 0 for a task that lasts
	cpu, mem int
	stopping bool
	record   *runRecord
}

type end struct {
	number  int64
	task    string
	attempt int
	how     string
}

func (l *life) clock() int64 { return 1000 + time.Since(l.start).Milliseconds() }

// addWorkers starts workers of one kind.
func (w *world) addWorkers(count int, kind string, cpu int) error {
	for range count {
		n := len(w.workers)
		s := &worker{
			w: w, id: fmt.Sprintf("i-%02d", n), address: fmt.Sprintf("%s%d:%s", w.net, 60+n, workerPort), cpu: cpu, mem: 128000,
			labels: []string{kind, fmt.Sprintf("r%d-1", n/6)},
		}
		w.workers = append(w.workers, s)
		if err := s.begin(); err != nil {
			return err
		}
	}
	return nil
}

// begin starts a life.
func (s *worker) begin() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	l := &life{
		born: time.Now().UnixMilli(), start: time.Now(), running: map[string]*run{}, barred: map[string]int{}, changed: make(chan struct{}),
	}
	l.ctx, l.cancel = context.WithCancel(s.w.ctx)
	l.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { s.serve(l, rw, r) })}
	s.mu.Lock()
	s.life = l
	s.mu.Unlock()
	go l.server.Serve(listener) //nolint:errcheck // it ends with the life
	go s.beat(l)
	go s.watch(l)
	return nil
}

// crash ends the life and all that runs in it.
func (s *worker) crash() {
	s.mu.Lock()
	l := s.life
	s.life = nil
	if l == nil {
		s.mu.Unlock()
		return
	}
	for _, r := range l.running {
		s.endRecord(r, "crashed")
	}
	l.running = map[string]*run{}
	l.cancel()
	s.mu.Unlock()
	_ = l.server.Close()
}

func (s *worker) endRecord(r *run, how string) {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	r.record.end, r.record.how = s.w.since(), how
}

func (s *worker) usedCPU() (used, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life == nil {
		return 0, 0
	}
	for _, r := range s.life.running {
		used += r.cpu
	}
	return used, s.cpu
}

type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	Fence      int64  `json:"fence"`
	DeadlineMS int64  `json:"deadline-ms"`
	LastSeen   int64  `json:"last-seen"`
	WaitMS     int64  `json:"wait-ms"`
}

func (s *worker) serve(l *life, rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		return
	}
	if r.Header.Get("X-Expect-Instance") != s.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	status, answer := s.execute(l, r.URL.Path, &o)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(answer)
}

func (s *worker) execute(l *life, path string, o *order) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life != l {
		panic(http.ErrAbortHandler)
	}
	if o.Fence < l.fence {
		return http.StatusConflict, map[string]any{"clock-ms": l.clock(), "reason": "fence"}
	}
	l.fence = o.Fence
	switch path {
	case "/run-start":
		if reason := s.startTask(l, o); reason != "" {
			return http.StatusConflict, map[string]any{"clock-ms": l.clock(), "reason": reason}
		}
	case "/run-stop":
		s.stopTask(l, o)
	case "/hold":
		return s.hold(l, o)
	case "/pace":
	default:
		return http.StatusBadRequest, map[string]any{"clock-ms": l.clock()}
	}
	return http.StatusOK, map[string]any{"clock-ms": l.clock()}
}

func (l *life) renew(deadline int64) {
	l.lease = max(l.lease, min(deadline, l.clock()+holdMax.Milliseconds()))
}

func (s *worker) startTask(l *life, o *order) string {
	if r := l.running[o.Task]; r != nil && r.attempt == o.Attempt {
		return ""
	}
	l.renew(o.DeadlineMS)
	switch {
	case l.lease <= l.clock():
		return "late"
	case o.Attempt <= l.barred[o.Task]:
		return "old"
	}
	var least, most int
	r := &run{attempt: o.Attempt, began: time.Now(), record: &runRecord{worker: s.id, attempt: o.Attempt, start: s.w.since()}}
	r.cpu, r.mem = s.w.sizeOf(o.Task)
	l.running[o.Task] = r
	s.w.mu.Lock()
	s.w.runs[o.Task] = append(s.w.runs[o.Task], r.record)
	s.w.mu.Unlock()
	s.w.note("%s starts %s run %d", s.id, o.Task, o.Attempt)
	if n, _ := fmt.Sscanf(o.Spec, "done %d", &least); n == 1 {
		r.length = time.Duration(least) * time.Millisecond
		s.endLater(l, o.Task, r, r.length, "done")
	} else if n, _ := fmt.Sscanf(o.Spec, "fail %d %d", &least, &most); n == 2 {
		s.endLater(l, o.Task, r, time.Duration(least+rand.IntN(most-least))*time.Millisecond, "failed")
	}
	return ""
}

func (s *worker) endLater(l *life, task string, r *run, after time.Duration, how string) {
	time.AfterFunc(after, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.life == l && l.running[task] == r {
			s.end(l, task, how)
		}
	})
}

func (s *worker) stopTask(l *life, o *order) {
	l.barred[o.Task] = max(l.barred[o.Task], o.Attempt)
	if r := l.running[o.Task]; r != nil && r.attempt <= o.Attempt && !r.stopping {
		r.stopping = true
		s.endLater(l, o.Task, r, stopTime, "stopped")
	}
}

func (s *worker) end(l *life, task, how string) {
	r := l.running[task]
	delete(l.running, task)
	l.barred[task] = max(l.barred[task], r.attempt)
	l.ends++
	l.finished = append(l.finished, end{l.ends, task, r.attempt, how})
	s.endRecord(r, how)
	s.w.note("%s ends %s run %d %s", s.id, task, r.attempt, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (s *worker) hold(l *life, o *order) (int, map[string]any) {
	if o.DeadlineMS > 0 {
		l.renew(o.DeadlineMS)
	}
	for len(l.finished) > 0 && l.finished[0].number <= o.LastSeen {
		l.finished = l.finished[1:]
	}
	until := time.Now().Add(time.Duration(o.WaitMS) * time.Millisecond)
	for len(l.finished) == 0 && time.Now().Before(until) && s.life == l {
		changed := l.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-l.ctx.Done():
		case <-time.After(time.Until(until)):
		}
		s.mu.Lock()
	}
	if s.life != l {
		panic(http.ErrAbortHandler)
	}
	running, finished := [][]any{}, [][]any{}
	for task, r := range l.running {
		percent := 100
		if r.length > 0 {
			percent = min(99, int(100*time.Since(r.began)/r.length))
		} else if time.Since(r.began) < 500*time.Millisecond {
			percent = 50
		}
		running = append(running, []any{task, r.attempt, "", percent, r.cpu})
	}
	for _, f := range l.finished[:min(500, len(l.finished))] {
		finished = append(finished, []any{f.number, f.task, f.attempt, f.how, ""})
	}
	return http.StatusOK, map[string]any{"clock-ms": l.clock(), "born": l.born, "running": running, "finished": finished}
}

// watch ends what runs once the lease is over.
func (s *worker) watch(l *life) {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-t.C:
		}
		s.mu.Lock()
		if s.life == l && l.lease <= l.clock() {
			for task := range l.running {
				s.end(l, task, "lapsed")
			}
		}
		s.mu.Unlock()
	}
}

// beat sends pings, to the address that the last answer named or else to any core machine.
func (s *worker) beat(l *life) {
	for {
		l.seq++
		body, _ := json.Marshal(map[string]any{
			"service": service, "addr": s.address, "zone": "zone-1", "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
			"capacity": map[string]any{"cpu": s.cpu, "mem-mb": s.mem, "gpu": 0}, "labels": s.labels,
			"clock-ms": l.clock(), "seq": l.seq, "born": l.born,
		})
		targets := make([]string, 0, len(s.w.controls)+1)
		if l.preferred != "" {
			targets = append(targets, l.preferred)
		}
		for _, i := range rand.Perm(len(s.w.controls)) {
			targets = append(targets, s.w.controls[i])
		}
		l.preferred = ""
		for _, target := range targets {
			if s.ping(l, target, body) {
				break
			}
		}
		select {
		case <-l.ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

func (s *worker) ping(l *life, target string, body []byte) bool {
	ctx, cancel := context.WithTimeout(l.ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+target+"/instances/"+s.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := s.w.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var ack struct {
		Address string `json:"heartbeat-addr"`
	}
	if response.StatusCode/100 != 2 || json.NewDecoder(response.Body).Decode(&ack) != nil {
		return false
	}
	l.preferred = ack.Address
	return true
}

// sizes holds the sizes of the steps of the jobs that were handed in.
var sizes sync.Map

func remember(j *job) {
	for i, p := range j.phases {
		sizes.Store(fmt.Sprintf("%s.0.%d", j.id, i), p)
	}
}

// sizeOf returns what a task takes on its worker; fillers take no processor time there.
func (w *world) sizeOf(task string) (cpu, mem int) {
	step := task[:max(0, strings.LastIndexByte(task, '.'))]
	if p, found := sizes.Load(step); found {
		if p.(phase).Fills {
			return 0, p.(phase).MemMB
		}
		return p.(phase).CPU, p.(phase).MemMB
	}
	return 0, 0
}
