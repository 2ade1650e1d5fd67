// Command lab3 runs the scripted cases of the third review against the real programs.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, as the pages give them for the Skylight orders cluster.
const (
	heartbeat   = 1500 * time.Millisecond
	holdMax     = 10 * time.Second
	contact     = 3 * time.Second
	stopWithin  = 400 * time.Millisecond
	visible     = 3 * time.Second
	finishAfter = 14 * time.Second
	gangTimeout = 3 * time.Second
	callWithin  = time.Second
)

// recorder writes one line for each event to record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, start: time.Now()}, nil
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// fleet is a deployment of real programs on loopback addresses.
type fleet struct {
	dir      string
	rec      *recorder
	network  string
	cores    []*process
	fronts   []*process
	control  []string
	entries  []string
	peerPort int
	metric   int
	seeds    []string
}

// process is one program, started with the command of the deploy file.
type process struct {
	name, program, settings string
	cmd                     *exec.Cmd
	exited                  chan struct{}
}

var zones = []string{"bern-a", "thun-b", "biel-c", "olten-d"}

// freePorts returns ports that are free on all loopback addresses of the fleet.
func freePorts(hosts []string, count int) ([]int, error) {
	var ports []int
	for tries := 0; len(ports) < count && tries < 1000; tries++ {
		port := 20000 + rand.Intn(12000)
		free := !slices.Contains(ports, port)
		for _, h := range hosts {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", h, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			ports = append(ports, port)
		}
	}
	if len(ports) < count {
		return nil, fmt.Errorf("no free ports")
	}
	return ports, nil
}

func newFleet(rec *recorder, cores, fronts int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "lab3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, rec: rec, network: fmt.Sprintf("127.%d.%d", 60+rand.Intn(150), 1+rand.Intn(250))}
	var hosts []string
	for i := range cores + fronts {
		hosts = append(hosts, f.host(10+i))
	}
	ports, err := freePorts(hosts, 5)
	if err != nil {
		return nil, err
	}
	controlPort, frontPort, readyPort := ports[0], ports[1], ports[2]
	f.peerPort, f.metric = ports[3], ports[4]
	for i := range cores {
		f.control = append(f.control, fmt.Sprintf("%s:%d", f.host(10+i), controlPort))
	}
	f.seeds = f.control[:min(3, cores)]
	for i := range cores {
		name := fmt.Sprintf("core-%d", i+1)
		p, err := f.process(name, "target/geranium-jobs", map[string]any{
			"name": name, "domain": zones[i%4], "listen": f.control[i], "peer_listen": fmt.Sprintf("%s:%d", f.host(10+i), f.peerPort),
			"metrics_listen": fmt.Sprintf("%s:%d", f.host(10+i), f.metric), "seeds": f.seeds, "first_start": true,
			"data_dir": filepath.Join(dir, name), "heartbeat_ms": heartbeat.Milliseconds(), "lease_ms": holdMax.Milliseconds(),
			"capacity_grace_ms": contact.Milliseconds(), "max_open_files": 4096, "memory_mb": 280, "remote_slowdown": 1.5,
			"carry_from_workers": 120, "large_fleet_workers": 1000, "fair_shares": map[string]any{"weights": map[string]any{}},
			"stop_within_ms": 6000,
		})
		if err != nil {
			return nil, err
		}
		f.cores = append(f.cores, p)
	}
	for i := range fronts {
		name := fmt.Sprintf("front-%d", i+1)
		h := f.host(10 + cores + i)
		p, err := f.process(name, "target/geranium-entry", map[string]any{
			"name": name, "domain": zones[i%4], "listen": fmt.Sprintf("%s:%d", h, frontPort), "ready_listen": fmt.Sprintf("%s:%d", h, readyPort),
			"peer_listen": fmt.Sprintf("%s:%d", h, f.peerPort), "metrics_listen": fmt.Sprintf("%s:%d", h, f.metric), "seeds": f.seeds,
			"max_open_files": 4100, "memory_mb": 284, "stop_within_ms": 6000,
		})
		if err != nil {
			return nil, err
		}
		f.fronts = append(f.fronts, p)
		f.entries = append(f.entries, fmt.Sprintf("%s:%d", h, frontPort))
	}
	return f, nil
}

func (f *fleet) host(i int) string { return fmt.Sprintf("%s.%d", f.network, i) }

func (f *fleet) process(name, program string, settings map[string]any) (*process, error) {
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	p := &process{name: name, program: program, settings: filepath.Join(f.dir, name+".json")}
	return p, os.WriteFile(p.settings, data, 0o600)
}

// start starts a process. Its log goes to the folder of the fleet.
func (f *fleet) start(p *process) error {
	out, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(p.program)
	p.cmd.Env = append(os.Environ(), "GERANIUMWALL_NODE_FILE="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// The process ends with this one, however this one ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) { c.Wait(); out.Close(); close(done) }(p.cmd, p.exited)
	f.rec.log("start %s pid %d", p.name, p.cmd.Process.Pid)
	return nil
}

// signal sends a signal to a process that this test has started.
func (f *fleet) signal(p *process, s syscall.Signal) {
	f.rec.log("signal %v to %s", s, p.name)
	p.cmd.Process.Signal(s)
}

func (f *fleet) startAll() error {
	for _, p := range append(append([]*process{}, f.cores...), f.fronts...) {
		if err := f.start(p); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) close() {
	for _, p := range append(append([]*process{}, f.cores...), f.fronts...) {
		if p.cmd != nil {
			p.cmd.Process.Signal(syscall.SIGCONT)
			p.cmd.Process.Kill()
			<-p.exited
		}
	}
	if keep := os.Getenv("LAB3_KEEP"); keep != "" {
		exec.Command("cp", "-r", f.dir, keep).Run()
	}
	os.RemoveAll(f.dir)
}

// leader returns the core process that leads, or nil.
func (f *fleet) leader() *process {
	for i, p := range f.cores {
		status, body, err := call(http.MethodGet, fmt.Sprintf("http://%s:%d/v1/leader", f.host(10+i), f.peerPort), "", nil, callWithin)
		var view struct {
			Leads bool `json:"leads"`
		}
		if err == nil && status == 200 && json.Unmarshal(body, &view) == nil && view.Leads {
			return p
		}
	}
	return nil
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call sends one request and reads the whole answer.
func call(method, url, host string, body any, within time.Duration) (int, []byte, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		reader = bytes.NewReader(data)
	}
	q, err := http.NewRequest(method, url, reader)
	if err != nil {
		return 0, nil, err
	}
	if host != "" {
		q.Host = host
		q.Header.Set("X-Deadline-Ms", "3000")
	}
	if body != nil {
		q.Header.Set("Content-Type", "application/json")
	}
	c := *client
	c.Timeout = within
	r, err := c.Do(q)
	if err != nil {
		return 0, nil, err
	}
	defer r.Body.Close()
	data, err := io.ReadAll(r.Body)
	return r.StatusCode, data, err
}

// route is a queue in a configuration.
type route struct {
	name        string
	priority    int
	maxAttempts int
	timeout     int
}

func (r route) host() string   { return r.name + ".example" }
func (r route) prefix() string { return "/" + r.name + "/" }

// configure sends a configuration until a node acknowledges it.
func (f *fleet) configure(version int, routes []route) error {
	var list []map[string]any
	for _, r := range routes {
		timeout := r.timeout
		if timeout == 0 {
			timeout = 3000
		}
		list = append(list, map[string]any{
			"name": r.name, "host": r.host(), "path-prefix": r.prefix(), "kind": "non_idempotent", "timeout-ms": timeout,
			"target-latency-ms": 1000, "priority": r.priority, "service": "order-desk", "max-attempts": r.maxAttempts, "stretch": 2.0,
		})
	}
	body := map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{{"name": "order-desk", "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "admission-check": false, "standby": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	for tries := 0; tries < 60; tries++ {
		node := f.control[rand.Intn(len(f.control))]
		sent := time.Now()
		status, _, err := call(http.MethodPut, "http://"+node+"/config", "", body, callWithin)
		f.rec.log("operator: configuration %d to %s: %d %v after %v", version, node, status, err, time.Since(sent).Round(time.Millisecond))
		if err == nil && status == 200 {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("configuration %d was never acknowledged", version)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in as a requester does: the same request again after no answer, a 502 or
// a 504, and later after a 429 or 503. It returns the last status.
func (f *fleet) submit(r route, id string, job map[string]any) int {
	for try := 0; ; try++ {
		node := f.entries[rand.Intn(len(f.entries))]
		status, _, err := call(http.MethodPost, "http://"+node+r.prefix()+id, r.host(), job, 3*time.Second)
		f.rec.log("client: submit %s to queue %s: %d %v", id, r.name, status, err)
		switch {
		case err == nil && (status == 200 || status == 404 || status == 400):
			return status
		case try == 4:
			return status
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// state returns the state of a job, or the status of the answer as text.
func (f *fleet) state(r route, id string) string {
	for try := 0; try < 5; try++ {
		node := f.entries[rand.Intn(len(f.entries))]
		status, body, err := call(http.MethodGet, "http://"+node+r.prefix()+id, r.host(), nil, 3*time.Second)
		var s struct {
			State string `json:"state"`
		}
		if err == nil && status == 200 && json.Unmarshal(body, &s) == nil {
			return s.State
		}
		if err == nil && status == 410 {
			return "410"
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "no answer"
}

// pending returns the waiting jobs of a queue as one node tells them, -1 without an answer.
func (f *fleet) pending(r route) int {
	node := f.entries[rand.Intn(len(f.entries))]
	status, body, err := call(http.MethodGet, "http://"+node+r.prefix(), r.host(), nil, 3*time.Second)
	var p struct {
		Pending *int `json:"pending"`
	}
	if err != nil || status != 200 || json.Unmarshal(body, &p) != nil || p.Pending == nil {
		return -1
	}
	return *p.Pending
}
