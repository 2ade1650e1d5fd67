package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The spec of a job tells the stand-in worker how long a task works, in milliseconds: "ms=800".
// "ms=0" lasts until it is stopped.
func workOf(spec string) time.Duration {
	n, _ := strconv.Atoi(strings.TrimPrefix(strings.Fields(spec)[0], "ms="))
	return time.Duration(n) * time.Millisecond
}

// farm is the set of stand-in workers and what they saw.
type farm struct {
	mu      sync.Mutex
	rec     *recorder
	control []string
	workers []*worker
	// starts counts the starts of each task that a worker has begun, ends those by how they ended.
	starts map[string]int
	ends   map[string]map[string]int
	jobs   map[string]job
	// gangs are the runs of gangs that wait or work, by phase and attempt.
	gangs map[string]*gangRun
	// onStart is called with each start that was carried out.
	onStart func(w *worker, o *order)
	// breaches are the rules that the stand-ins saw broken, by the checks of the search.
	breaches []string
	noted    map[string]bool
	// late is the share of orders that get no answer and are carried out later, lost that of
	// orders whose answer is lost.
	late, lost float64
}

// job is what the stand-ins know of a job that a client has handed in.
type job struct {
	tasks      int
	gang       bool
	checkpoint bool
	cpu        int
	deps       bool
	startAt    int64
	period     int64
	times      int
	apart      int
	fails      bool
	cancelled  time.Time
}

func newFarm(rec *recorder, control []string) *farm {
	return &farm{rec: rec, control: control, starts: map[string]int{}, ends: map[string]map[string]int{}, jobs: map[string]job{}, gangs: map[string]*gangRun{}, noted: map[string]bool{}}
}

// gangRun is one run of a gang: its members share the attempt and the checkpoint.
type gangRun struct {
	members map[string]*run
	size    int
	began   time.Time
	base    time.Duration
}

// worker is a machine; its lives follow each other at one address.
type worker struct {
	farm     *farm
	name     string
	number   int
	listen   string
	zone     string
	cpu, mem int
	kind     string
	lives    int
	life     *life
	// keepID is set if the next life has the id of the last one.
	keepID bool
}

// life is one process of a worker.
type life struct {
	w                    *worker
	id                   string
	born                 int64
	start                time.Time
	listener             net.Listener
	server               *http.Server
	dead                 chan struct{}
	fence                int64
	lease                int64
	running              map[string]*run
	barred               map[string]int
	finished             []end
	ends                 int64
	changed              chan struct{}
	draining, drainAcked bool
	drainedAt            time.Time
	// silent is set once the process is gone without closing its connections.
	silent bool
}

type run struct {
	life       *life
	task       string
	attempt    int
	spec       string
	began      time.Time
	saved      string
	base       time.Duration
	stopping   bool
	gangKey    string
	timer      *time.Timer
	lasts      bool
	checkpoint bool
}

type end struct {
	number  int64
	task    string
	attempt int
	how     string
	saved   string
}

type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline-ms"`
	Fence      int64  `json:"fence"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"last-seen"`
	WaitMS     int64  `json:"wait-ms"`
	Percent    int    `json:"percent"`
}

func (f *farm) add(listen, zone string, cpu, mem int) *worker {
	w := &worker{farm: f, number: len(f.workers), name: fmt.Sprintf("w%d", len(f.workers)+1), kind: "a", listen: listen, zone: zone, cpu: cpu, mem: mem}
	f.workers = append(f.workers, w)
	return w
}

// up begins a new life under a new id.
func (w *worker) up() error {
	listener, err := net.Listen("tcp", w.listen)
	if err != nil {
		return err
	}
	w.farm.mu.Lock()
	if !w.keepID || w.lives == 0 {
		w.lives++
	}
	l := &life{
		w: w, id: fmt.Sprintf("i-%s-%d", w.name, w.lives), born: time.Now().UnixMilli(), start: time.Now(), listener: listener,
		dead: make(chan struct{}), running: map[string]*run{}, barred: map[string]int{}, changed: make(chan struct{}),
	}
	l.server = &http.Server{Handler: http.HandlerFunc(l.serve)}
	w.life = l
	w.farm.mu.Unlock()
	w.farm.rec.log("worker %s is up as %s", w.name, l.id)
	go l.server.Serve(listener)
	go l.beat()
	go l.watchLease()
	return nil
}

// crash ends the present life with all that it runs. Its connections are closed.
func (w *worker) crash() {
	w.farm.mu.Lock()
	l := w.life
	w.life = nil
	var lost []string
	if l != nil {
		close(l.dead)
		lost = l.killAll("crashed")
	}
	w.farm.mu.Unlock()
	if l != nil {
		w.farm.rec.log("worker %s crashes as %s, running %v", w.name, l.id, lost)
		l.listener.Close()
		l.server.Close()
	}
}

// crashDark ends the present life with all that it runs. Nothing answers at its address any
// more, and nobody is told: connections hang.
func (w *worker) crashDark() {
	w.farm.mu.Lock()
	l := w.life
	var lost []string
	if l != nil {
		l.silent = true
		close(l.dead)
		lost = l.killAll("crashed")
	}
	w.farm.mu.Unlock()
	w.farm.rec.log("worker %s goes dark as %s, running %v", w.name, l.id, lost)
}

// close ends the present life at the end of the test.
func (w *worker) close() {
	w.farm.mu.Lock()
	l := w.life
	w.life = nil
	w.farm.mu.Unlock()
	if l != nil {
		if !l.silent {
			close(l.dead)
		}
		l.listener.Close()
		l.server.Close()
	}
}

// killAll ends all runs without an entry in the list of ends. The lock is held.
func (l *life) killAll(how string) []string {
	var lost []string
	for task, r := range l.running {
		lost = append(lost, task)
		l.w.farm.note(task, how)
		delete(l.running, task)
		r.stop()
		r.leaveGang()
	}
	return lost
}

func (r *run) stop() {
	if r.timer != nil {
		r.timer.Stop()
	}
}

// leaveGang ends the other members of a gang's run. The lock is held.
func (r *run) leaveGang() {
	f := r.life.w.farm
	g := f.gangs[r.gangKey]
	if g == nil {
		return
	}
	delete(g.members, r.task)
	if g.began.IsZero() {
		return
	}
	for _, other := range g.members {
		other.life.finish(other, "broken")
	}
}

func (f *farm) note(task, how string) {
	if f.ends[task] == nil {
		f.ends[task] = map[string]int{}
	}
	f.ends[task][how]++
}

func (l *life) clock() int64 { return 1000 + time.Since(l.start).Milliseconds() }

// beat sends pings: to the address that the last answer named, or else to one node after the
// other.
func (l *life) beat() {
	preferred := ""
	for seq := 1; ; seq++ {
		targets := append([]string{}, l.w.farm.control...)
		rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		if preferred != "" {
			targets = append([]string{preferred}, targets...)
		}
		preferred = ""
		l.w.farm.mu.Lock()
		state := "ready"
		if l.draining {
			state = "draining"
		}
		l.w.farm.mu.Unlock()
		for _, target := range targets {
			body := map[string]any{
				"service": "order-desk", "addr": l.w.listen, "zone": l.w.zone, "version": "v1", "slots": 8, "state": state, "remaining-ms": 2000, "cold-left-ms": 0,
				"capacity": map[string]any{"cpu": l.w.cpu, "mem-mb": l.w.mem, "gpu": 0}, "labels": []string{l.w.kind, fmt.Sprintf("r-%d", l.w.number/6)},
				"clock-ms": l.clock(), "born": l.born, "seq": seq,
			}
			status, data, err := call(http.MethodPut, "http://"+target+"/instances/"+l.id, "", body, callWithin)
			select {
			case <-l.dead:
				return
			default:
			}
			if err != nil || status/100 != 2 {
				seq++
				continue
			}
			var a struct {
				Addr string `json:"heartbeat-addr"`
			}
			json.Unmarshal(data, &a)
			preferred = a.Addr
			if state == "draining" {
				l.w.farm.mu.Lock()
				if !l.drainAcked {
					l.drainAcked, l.drainedAt = true, time.Now()
				}
				l.w.farm.mu.Unlock()
			}
			break
		}
		select {
		case <-l.dead:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (l *life) serve(rw http.ResponseWriter, q *http.Request) {
	var o order
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	f := l.w.farm
	f.mu.Lock()
	if l.silent {
		f.mu.Unlock()
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if q.Header.Get("X-Expect-Instance") != l.id {
		f.mu.Unlock()
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if rand.Float64() < f.late {
		f.mu.Unlock()
		l.later(q.URL.Path, o)
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	lost := rand.Float64() < f.lost
	l.expire()
	status, answer := l.carryOut(q.URL.Path, &o)
	silent := l.silent || lost
	f.mu.Unlock()
	if silent {
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	data, _ := json.Marshal(answer)
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Content-Length", fmt.Sprint(len(data)))
	rw.WriteHeader(status)
	rw.Write(data)
}

func (l *life) carryOut(path string, o *order) (int, map[string]any) {
	refuse := func(reason string) (int, map[string]any) {
		return http.StatusConflict, map[string]any{"clock-ms": l.clock(), "born": l.born, "reason": reason}
	}
	if o.Fence < l.fence {
		return refuse("fence")
	}
	l.fence = o.Fence
	switch path {
	case "/run-start":
		if r := l.running[o.Task]; r != nil && r.attempt == o.Attempt {
			break
		}
		l.renew(o.Deadline)
		if o.Deadline <= l.clock() {
			return refuse("late")
		}
		if o.Attempt <= l.barred[o.Task] {
			return refuse("old")
		}
		l.begin(o)
	case "/run-stop":
		l.stop(o)
	case "/pace":
	case "/hold":
		return http.StatusOK, l.hold(o)
	default:
		return http.StatusBadRequest, map[string]any{"clock-ms": l.clock()}
	}
	return http.StatusOK, map[string]any{"clock-ms": l.clock(), "born": l.born}
}

func (l *life) renew(deadline int64) {
	if deadline > 0 {
		l.lease = max(l.lease, min(deadline, l.clock()+holdMax.Milliseconds()))
	}
}

// phaseOf returns ID.K.STEP of a task ID.K.STEP.INDEX.
func phaseOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

func idOf(task string) string { return task[:strings.IndexByte(task, '.')] }

// begin starts a run.
func (l *life) begin(o *order) {
	f := l.w.farm
	f.starts[o.Task]++
	f.rec.log("worker %s starts %s run %d checkpoint %q", l.id, o.Task, o.Attempt, o.Checkpoint)
	j := f.jobs[idOf(o.Task)]
	r := &run{life: l, task: o.Task, attempt: o.Attempt, spec: o.Spec, began: time.Now(), saved: o.Checkpoint, base: progressOf(o.Checkpoint), checkpoint: j.checkpoint}
	l.check(o, j)
	l.running[o.Task] = r
	if f.onStart != nil {
		f.onStart(l.w, o)
	}
	work := workOf(o.Spec)
	r.lasts = work == 0
	switch {
	case j.gang:
		l.joinGang(r, j, work)
	case !r.lasts:
		how := "done"
		if j.fails && rand.Intn(2) == 0 {
			how = "failed"
		}
		r.timer = time.AfterFunc(max(0, work-r.base), func() { l.finishLater(r, how) })
	}
}

// joinGang adds a run to its gang. The tasks work from the moment when all members of the run
// are present; all must carry the same checkpoint.
func (l *life) joinGang(r *run, j job, work time.Duration) {
	f := l.w.farm
	r.gangKey = fmt.Sprintf("%s/%d/%s", phaseOf(r.task), r.attempt, r.saved)
	g := f.gangs[r.gangKey]
	if g == nil {
		g = &gangRun{members: map[string]*run{}, size: j.tasks, base: r.base}
		f.gangs[r.gangKey] = g
	}
	g.members[r.task] = r
	if len(g.members) == g.size {
		g.began = time.Now()
		f.rec.log("gang %s works as run %s", phaseOf(r.task), r.gangKey)
		for _, m := range g.members {
			m.timer = time.AfterFunc(work-g.base, func() { m.life.finishLater(m, "done") })
		}
		return
	}
	time.AfterFunc(gangTimeout, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if l.running[r.task] == r && g.began.IsZero() {
			delete(g.members, r.task)
			l.finish(r, "alone")
		}
	})
}

// progressOf returns the work that a checkpoint stands for.
func progressOf(checkpoint string) time.Duration {
	if len(checkpoint) < 8 {
		return 0
	}
	n, _ := strconv.ParseInt(checkpoint[:8], 16, 64)
	return time.Duration(n) * time.Millisecond
}

// save updates the checkpoint of a run: one for each half second of work, and one at a stop.
func (r *run) save(stop bool) {
	if !r.checkpoint {
		return
	}
	began := r.began
	if r.gangKey != "" {
		g := r.life.w.farm.gangs[r.gangKey]
		if g.began.IsZero() {
			return
		}
		began = g.began
	}
	done := r.base + time.Since(began)
	if !stop {
		done = r.base + time.Since(began).Truncate(500*time.Millisecond)
	}
	if done > 0 {
		r.saved = fmt.Sprintf("%08x%s", done.Milliseconds(), idOf(r.task)[4:12])
	}
}

func (l *life) finishLater(r *run, how string) {
	l.w.farm.mu.Lock()
	defer l.w.farm.mu.Unlock()
	if l.running[r.task] == r {
		l.finish(r, how)
	}
}

// finish lists the end of a run. The lock is held.
func (l *life) finish(r *run, how string) {
	if l.running[r.task] != r {
		return
	}
	r.stop()
	if how != "alone" {
		r.save(how == "stopped")
	}
	delete(l.running, r.task)
	l.barred[r.task] = max(l.barred[r.task], r.attempt)
	l.ends++
	saved := r.saved
	if how == "done" {
		saved = ""
	}
	l.finished = append(l.finished, end{l.ends, r.task, r.attempt, how, saved})
	l.w.farm.note(r.task, how)
	l.w.farm.rec.log("worker %s ends %s run %d: %s, saved %q", l.id, r.task, r.attempt, how, saved)
	close(l.changed)
	l.changed = make(chan struct{})
	if how != "done" {
		r.leaveGang()
	}
}

func (l *life) stop(o *order) {
	l.barred[o.Task] = max(l.barred[o.Task], o.Attempt)
	r := l.running[o.Task]
	if r == nil || r.attempt > o.Attempt || r.stopping {
		return
	}
	r.stopping = true
	time.AfterFunc(stopWithin/2, func() { l.finishLater(r, "stopped") })
}

// expire ends all runs once the lease is over. The lock is held.
func (l *life) expire() {
	if l.lease > l.clock() {
		return
	}
	for _, r := range l.running {
		l.finish(r, "lapsed")
	}
}

func (l *life) watchLease() {
	for {
		select {
		case <-l.dead:
			return
		case <-time.After(20 * time.Millisecond):
			l.w.farm.mu.Lock()
			l.expire()
			l.w.farm.mu.Unlock()
		}
	}
}

func (l *life) hold(o *order) map[string]any {
	l.renew(o.Deadline)
	for len(l.finished) > 0 && l.finished[0].number <= o.LastSeen {
		if e := l.finished[0]; e.how == "done" {
			l.w.farm.noted[e.task] = true
		}
		l.finished = l.finished[1:]
	}
	for until := time.Now().Add(time.Duration(o.WaitMS) * time.Millisecond); len(l.finished) == 0 && !l.silent; {
		left, changed := time.Until(until), l.changed
		if left <= 0 {
			break
		}
		l.w.farm.mu.Unlock()
		select {
		case <-changed:
		case <-l.dead:
		case <-time.After(left):
		}
		l.w.farm.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range l.running {
		r.save(false)
		percent := 100
		if !r.lasts {
			percent = int(min(99, 100*(r.base+time.Since(r.began))/workOf(r.spec)))
		}
		running = append(running, []any{r.task, r.attempt, r.saved, percent, 100})
	}
	for _, f := range l.finished {
		finished = append(finished, []any{f.number, f.task, f.attempt, f.how, f.saved})
	}
	return map[string]any{"clock-ms": l.clock(), "born": l.born, "running": running, "finished": finished}
}

// expect tells the stand-ins about a job before it is handed in.
func (f *farm) expect(id string, j job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[id] = j
}

// begun reports whether a task of the job has started.
func (f *farm) begun(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for task := range f.starts {
		if strings.HasPrefix(task, id+".") {
			return true
		}
	}
	return false
}

// endsOf returns how the runs of a job's tasks have ended.
func (f *farm) endsOf(id string) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := map[string]int{}
	for task, ends := range f.ends {
		if strings.HasPrefix(task, id+".") {
			for how, n := range ends {
				total[how] += n
			}
		}
	}
	return total
}

// cancelled takes in that a cancellation was acknowledged.
func (f *farm) cancelled(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	j := f.jobs[id]
	j.cancelled = time.Now()
	f.jobs[id] = j
}

// check checks a start by the rules. The lock is held.
func (l *life) check(o *order, j job) {
	f := l.w.farm
	breach := func(format string, args ...any) {
		f.breaches = append(f.breaches, fmt.Sprintf("%.3f start of %s run %d on %s: ", time.Since(f.rec.start).Seconds(), o.Task, o.Attempt, l.id)+fmt.Sprintf(format, args...))
		f.rec.log("%s", f.breaches[len(f.breaches)-1])
	}
	if j.tasks == 0 {
		breach("UNASKED")
		return
	}
	used, apart := j.cpu, 0
	for _, r := range l.running {
		used += f.jobs[idOf(r.task)].cpu
		if phaseOf(r.task) == phaseOf(o.Task) {
			apart++
		}
	}
	if j.cpu > 0 && used > l.w.cpu {
		breach("LIMIT %d", used)
	}
	if j.apart > 0 && apart >= j.apart {
		breach("ROUTE: %d of the step run there", apart)
	}
	for _, w := range f.workers {
		if w.life == nil {
			continue
		}
		if r := w.life.running[o.Task]; r != nil && w.life.lease > w.life.clock() {
			breach("TWICE: run %d goes on on %s", r.attempt, w.life.id)
		}
	}
	if f.noted[o.Task] && workOf(o.Spec) > 0 {
		breach("TWICE: a noted end was done")
	}
	var k, step, index int
	fmt.Sscanf(o.Task[len(idOf(o.Task)):], ".%d.%d.%d", &k, &step, &index)
	if j.deps && step == 1 {
		for i := range j.tasks {
			if f.ends[fmt.Sprintf("%s.%d.0.%d", idOf(o.Task), k, i)]["done"] == 0 {
				breach("ORDER")
			}
		}
	}
	if j.times > 0 && time.Now().UnixMilli() < j.startAt+int64(k)*j.period-250 {
		breach("ORDER: early")
	}
	if f.ends[o.Task]["failed"] >= 4 && workOf(o.Spec) > 0 {
		breach("BUDGET")
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > 3*time.Second {
		breach("UNASKED: cancelled %v before", time.Since(j.cancelled))
	}
	if l.drainAcked && time.Since(l.drainedAt) > 2*time.Second {
		breach("DRAIN")
	}
}

// drain lets a worker leave: it reports that it drains, serves for the time of a drain, says
// that it leaves, and ends.
func (w *worker) drain() {
	w.farm.mu.Lock()
	l := w.life
	l.draining = true
	w.farm.mu.Unlock()
	w.farm.rec.log("worker %s drains", l.id)
	for range 60 {
		time.Sleep(100 * time.Millisecond)
		w.farm.mu.Lock()
		acked := l.drainAcked
		w.farm.mu.Unlock()
		if acked {
			break
		}
	}
	time.Sleep(time.Duration(2000+rand.Intn(1500)) * time.Millisecond)
	for _, target := range w.farm.control {
		if status, _, err := call(http.MethodDelete, "http://"+target+"/instances/"+l.id, "", nil, callWithin); err == nil && status/100 == 2 {
			break
		}
	}
	w.keepID = rand.Intn(2) == 0
	w.crash()
}

// later carries an order out 2 to 12 s later.
func (l *life) later(path string, o order) {
	go func() {
		select {
		case <-l.dead:
			return
		case <-time.After(2*time.Second + time.Duration(rand.Int63n(int64(10*time.Second)))):
		}
		l.w.farm.mu.Lock()
		defer l.w.farm.mu.Unlock()
		l.expire()
		o.WaitMS = 0
		l.carryOut(path, &o)
	}()
}
