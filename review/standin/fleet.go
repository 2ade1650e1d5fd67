package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Settings of a small deployment (DEPLOY.md, and the bounds in SYSTEM.md).
const (
	heartbeatMS = 1500
	holdMaxMS   = 10000
	contactMS   = 3000
	graceMS     = 6000
	stopMS      = 400
	maxFiles    = 4096
)

const (
	coreCount  = 4
	frontCount = 2
	seedCount  = 3
)

// process is one program of the project.
type process struct {
	name     string
	program  string
	settings string
	dataDir  string
	log      *os.File
	cmd      *exec.Cmd
	ended    chan struct{}
}

// fleet is a small deployment of the project's programs on loopback addresses.
type fleet struct {
	rec     *record
	dir     string
	bin     string
	cores   []*process
	fronts  []*process
	control []string
	callers []string
	ready   []string
}

// freePort returns a port that is free at all addresses.
func freePort(hosts []string, taken map[int]bool) (int, error) {
	for range 200 {
		l, err := net.Listen("tcp", hosts[0]+":0")
		if err != nil {
			return 0, fmt.Errorf("find a free port: %w", err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		l.Close()
		if taken[port] || !freeAtAll(hosts, port) {
			continue
		}
		taken[port] = true
		return port, nil
	}
	return 0, errors.New("no port is free at all addresses")
}

func freeAtAll(hosts []string, port int) bool {
	for _, host := range hosts {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// hostAddress returns the loopback address of a host: 127.0.group.n.
func hostAddress(group, n int) string { return fmt.Sprintf("127.0.%d.%d", group, n+1) }

// Groups of loopback addresses.
const (
	coreGroup   = 11
	frontGroup  = 12
	workerGroup = 13
)

func startFleet(rec *record, bin, dir string) (*fleet, error) {
	f := &fleet{rec: rec, dir: dir, bin: bin}
	var hosts []string
	for i := range coreCount {
		hosts = append(hosts, hostAddress(coreGroup, i))
	}
	for i := range frontCount {
		hosts = append(hosts, hostAddress(frontGroup, i))
	}
	taken := map[int]bool{}
	var ports [5]int
	for i := range ports {
		port, err := freePort(hosts, taken)
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	control, peer, front, ready := ports[0], ports[1], ports[2], ports[3]
	seeds := ""
	for i := range coreCount {
		address := fmt.Sprintf("%s:%d", hostAddress(coreGroup, i), control)
		f.control = append(f.control, address)
		if i < seedCount {
			if i > 0 {
				seeds += ","
			}
			seeds += fmt.Sprintf("%q", address)
		}
	}
	for i := range coreCount {
		host := hostAddress(coreGroup, i)
		p := &process{name: fmt.Sprintf("core-%d", i+1), program: "geranium-jobs", dataDir: filepath.Join(dir, fmt.Sprintf("data-%d", i+1))}
		p.settings = fmt.Sprintf(`{"name":%q,"domain":"zone-%d","listen":%q,"peer_listen":"%s:%d","metrics_listen":"","seeds":[%s],"first_start":true,`+
			`"data_dir":%q,"heartbeat_ms":%d,"lease_ms":%d,"capacity_grace_ms":%d,"max_open_files":%d,"carry_from_workers":120,"stop_within_ms":%d}`,
			p.name, i+1, f.control[i], host, peer, seeds, p.dataDir, heartbeatMS, holdMaxMS, contactMS, maxFiles, graceMS)
		f.cores = append(f.cores, p)
	}
	for i := range frontCount {
		host := hostAddress(frontGroup, i)
		f.callers = append(f.callers, fmt.Sprintf("%s:%d", host, front))
		f.ready = append(f.ready, fmt.Sprintf("%s:%d", host, ready))
		p := &process{name: fmt.Sprintf("front-%d", i+1), program: "geranium-entry"}
		p.settings = fmt.Sprintf(`{"name":%q,"domain":"zone-%d","listen":%q,"ready_listen":%q,"peer_listen":"%s:%d","metrics_listen":"","seeds":[%s],`+
			`"max_open_files":%d,"stop_within_ms":%d}`, p.name, i+1, f.callers[i], f.ready[i], host, peer, seeds, maxFiles, graceMS)
		f.fronts = append(f.fronts, p)
	}
	for _, p := range f.all() {
		if err := f.start(p); err != nil {
			f.stop()
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) all() []*process { return append(append([]*process{}, f.cores...), f.fronts...) }

// start starts a process with its settings. Its log goes to the temporary folder.
func (f *fleet) start(p *process) error {
	file := filepath.Join(f.dir, p.name+".json")
	if err := os.WriteFile(file, []byte(p.settings), 0o600); err != nil {
		return fmt.Errorf("write the settings of %s: %w", p.name, err)
	}
	log, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open the log of %s: %w", p.name, err)
	}
	p.log = log
	p.cmd = exec.Command(filepath.Join(f.bin, p.program))
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GERANIUMWALL_NODE_FILE=" + file}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The process ends with the stand-in also if that is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	f.rec.add("%s started", p.name)
	p.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		log.Close()
		close(ended)
	}(p.cmd, p.ended)
	return nil
}

func (f *fleet) signal(p *process, s syscall.Signal) {
	f.rec.add("%s gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// kill ends a process with SIGKILL and waits for its end.
func (f *fleet) kill(p *process) {
	f.signal(p, syscall.SIGKILL)
	<-p.ended
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, p := range f.all() {
		if p.cmd == nil || p.cmd.Process == nil {
			continue
		}
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		select {
		case <-p.ended:
		case <-time.After(5 * time.Second):
		}
	}
}
