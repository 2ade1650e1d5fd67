// Command lab plays the cases of the second review: it starts the programs of the deploy
// file on loopback addresses and stands in for workers, requesters and the operator.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployment ldm-sched, and the ports of its machines.
const (
	heartbeat   = 1500 * time.Millisecond
	holdMax     = 10 * time.Second
	stopTime    = 200 * time.Millisecond // at most stop-ms, 400
	finishAfter = 14 * time.Second       // finish_s
	graceS      = 6

	controlPort = "8166"
	frontPort   = "8161"
	readyPort   = "8167"
	peerPort    = "7720"
	metricsPort = "7721"
	workerPort  = "7400"
	coreCount   = 4
	frontCount  = 7
	service     = "huvo11a"
)

// world is one deployment with its stand-ins.
type world struct {
	dir, net string
	begin    time.Time
	record   *os.File
	recordMu sync.Mutex

	ctx       context.Context
	cancel    context.CancelFunc
	processes []*exec.Cmd
	controls  []string
	fronts    []string
	workers   []*worker
	client    *http.Client

	mu   sync.Mutex
	runs map[string][]*runRecord // by task
}

// runRecord is one run of a task as its worker saw it.
type runRecord struct {
	worker     string
	attempt    int
	start, end time.Duration
	how        string
}

func newWorld(dir, record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: f, begin: time.Now(), runs: map[string][]*runRecord{}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	for range 50 {
		w.net = fmt.Sprintf("127.%d.%d.", 64+rand.IntN(150), 1+rand.IntN(250))
		l, err := net.Listen("tcp", w.net+"10:"+controlPort)
		if err == nil {
			l.Close()
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free addresses")
}

func (w *world) since() time.Duration { return time.Since(w.begin) }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f ", w.since().Seconds())
	fmt.Fprintf(w.record, format+"\n", args...)
}

// startSystem starts all programs of the deploy file at the same time.
func (w *world) startSystem() error {
	for i := range coreCount {
		w.controls = append(w.controls, fmt.Sprintf("%s%d:%s", w.net, 10+i, controlPort))
	}
	for i := range coreCount {
		ip := fmt.Sprintf("%s%d", w.net, 10+i)
		if err := w.startProcess("geranium-jobs", "jobs", fmt.Sprintf("core-%d", i+1), ip); err != nil {
			return err
		}
	}
	for i := range frontCount {
		ip := fmt.Sprintf("%s%d", w.net, 30+i)
		w.fronts = append(w.fronts, ip+":"+frontPort)
		if err := w.startProcess("geranium-entry", "entry", fmt.Sprintf("front-%d", i+1), ip); err != nil {
			return err
		}
	}
	return nil
}

// startProcess fills in the template of a role and starts its program, as the platform does.
func (w *world) startProcess(program, role, name, ip string) error {
	template, err := os.ReadFile(filepath.Join("platform", role+".json.tmpl"))
	if err != nil {
		return err
	}
	seeds := `"` + strings.Join(w.controls[:3], `","`) + `"`
	settings := strings.NewReplacer(
		"{{node-id}}", name, "{{zone}}", "zone-"+name[len(name)-1:], "{{ip}}", ip,
		"{{listen.front}}", ip+":"+frontPort, "{{listen.ready}}", ip+":"+readyPort, "{{listen.control}}", ip+":"+controlPort,
		"{{port-range.0}}", peerPort, "{{port-range.1}}", metricsPort, `{{#seeds}}"{{.}}"{{,}}{{/seeds}}`, seeds,
		"{{bootstrap}}", "true", "{{data-dir}}", filepath.Join(w.dir, name), "{{heartbeat-ms}}", fmt.Sprint(heartbeat.Milliseconds()),
		"{{bounds.hold-max-ms}}", fmt.Sprint(holdMax.Milliseconds()), "{{bounds.contact-ms}}", "3000",
		"{{limits.max-fds}}", "4096", "{{bounds.grace-s}}", fmt.Sprint(graceS),
	).Replace(string(template))
	if strings.Contains(settings, "{{") {
		return fmt.Errorf("the template of %s has a placeholder that is not filled in: %s", role, settings)
	}
	file := filepath.Join(w.dir, name+".json")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	logs, err := os.Create(filepath.Join(w.dir, name+".log"))
	if err != nil {
		return err
	}
	c := exec.Command(filepath.Join("target", program))
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "GERANIUMWALL_NODE_FILE=" + file}
	c.Stdout, c.Stderr = logs, logs
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	w.processes = append(w.processes, c)
	return nil
}

// close ends all that was started.
func (w *world) close() {
	w.cancel()
	for _, s := range w.workers {
		s.crash()
	}
	for _, c := range w.processes {
		_ = c.Process.Kill()
	}
	for _, c := range w.processes {
		_ = c.Wait()
	}
	w.record.Close()
}

// call sends a request and returns the status, 0 for none, and the body.
func (w *world) call(method, address, host, path string, body []byte, within time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(w.ctx, within)
	defer cancel()
	for range 3 {
		request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
		if err != nil {
			return 0, nil
		}
		if host != "" {
			request.Host = host
			request.Header.Set("X-Deadline-Ms", "3000")
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := w.client.Do(request)
		if err != nil {
			return 0, nil
		}
		data, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			return 0, nil
		}
		if response.StatusCode == http.StatusTemporaryRedirect {
			address = strings.TrimSuffix(strings.TrimPrefix(response.Header.Get("Location"), "http://"), path)
			continue
		}
		return response.StatusCode, data
	}
	return 0, nil
}

// route is a queue as the operator configures it.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"path-prefix"`
	Kind        string  `json:"kind"`
	TimeoutMS   int     `json:"timeout-ms"`
	LatencyMS   int     `json:"target-latency-ms"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"max-attempts"`
	Stretch     float64 `json:"stretch"`
}

func newRoute(name string, priority, latency, attempts int) route {
	return route{name, "nony24.example", "/" + name + "/", "non_idempotent", 3000, latency, priority, service, attempts, 2}
}

// configure sends a configuration to any core machine until it is acknowledged.
func (w *world) configure(version int, routes ...route) bool {
	body, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{
			"name": service, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "admission-check": false, "standby": false}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	w.note("operator sends configuration %d with %d routes, the first is %s", version, len(routes), routes[0].Name)
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until) && w.ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		status, _ := w.call(http.MethodPut, w.controls[rand.IntN(len(w.controls))], "", "/config", body, time.Second)
		if status/100 == 2 {
			w.note("configuration %d is acknowledged", version)
			return true
		}
	}
	w.note("configuration %d got no ack", version)
	return false
}

// phase is a step of a job.
type phase struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu"`
	MemMB       int    `json:"mem-mb"`
	EstimateMS  int    `json:"estimate-ms,omitempty"`
	Constraints string `json:"constraints,omitempty"`
	LongRunning bool   `json:"long-running,omitempty"`
	Fills       bool   `json:"fills,omitempty"`
	Image       string `json:"image,omitempty"`
}

// job is a job as its requester knows it.
type job struct {
	id       string
	route    route
	spec     string
	phases   []phase
	outcome  string // accepted, refused or unclear
	accepted time.Duration
}

func newJob(r route, spec string, phases ...phase) *job {
	return &job{id: fmt.Sprintf("%016x", rand.Uint64()), route: r, spec: spec, phases: phases}
}

// submit hands a job in as requesters do: an attempt without a clear answer is sent again
// under the same id.
func (w *world) submit(j *job) {
	body, _ := json.Marshal(map[string]any{"spec": j.spec, "phases": j.phases})
	j.outcome = "refused"
	for range 5 {
		status, _ := w.call(http.MethodPost, w.fronts[rand.IntN(len(w.fronts))], j.route.Host, j.route.Prefix+j.id, body, 3*time.Second)
		w.note("job %s on %s is handed in: answer %d", j.id, j.route.Name, status)
		switch {
		case status/100 == 2:
			j.outcome, j.accepted = "accepted", w.since()
			return
		case status == http.StatusNotFound:
			return
		case status == 0 || status == 502 || status == 504:
			j.outcome = "unclear"
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// state asks for the state of a job until there is an answer.
func (w *world) state(j *job) string {
	for range 10 {
		status, data := w.call(http.MethodGet, w.fronts[rand.IntN(len(w.fronts))], j.route.Host, j.route.Prefix+j.id, nil, 3*time.Second)
		var v struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(data, &v) == nil {
			return v.State
		}
		if status == http.StatusGone {
			return "gone"
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "no answer"
}

// taskRuns returns the runs of a task.
func (w *world) taskRuns(j *job, step, index int) []runRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []runRecord
	for _, r := range w.runs[fmt.Sprintf("%s.0.%d.%d", j.id, step, index)] {
		list = append(list, *r)
	}
	return list
}

// jobRuns returns the runs of all tasks of a job.
func (w *world) jobRuns(j *job) []runRecord {
	var list []runRecord
	for s, p := range j.phases {
		for i := range p.Count {
			list = append(list, w.taskRuns(j, s, i)...)
		}
	}
	return list
}

// use returns the share of the capacity that is in use on the workers that are up.
func (w *world) use() float64 {
	used, all := 0, 0
	for _, s := range w.workers {
		u, c := s.usedCPU()
		used, all = used+u, all+c
	}
	return float64(used) / float64(max(1, all))
}
