package e2e_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"geraniumwall/operator"
)

const (
	firstPort     = 21000
	readyTimeout  = 20 * time.Second
	readyInterval = 50 * time.Millisecond
	workerSlots   = 8
	workerConns   = 64
)

// layout is the shape of a fleet.
type layout struct {
	domains          []string
	controlDomains   []string
	gatewaysPer      int
	workersPer       int
	workersInOneRack int
	services         []string
}

var fleets atomic.Int32

// fleet is a deployment of separate processes on one loopback address.
type fleet struct {
	layout
	dir        string
	ip         string
	port       int
	controls   []*process
	schedulers map[string][]*process
	gateways   map[string][]*process
	workers    map[string][]*process
	addresses  map[string]string
	client     *operator.Client
}

type address struct {
	Name    string `json:"name"`
	Domain  string `json:"domain,omitempty"`
	Address string `json:"address"`
}

type replica struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
}

type controlSettings struct {
	Name      string    `json:"name"`
	Domain    string    `json:"domain"`
	Listen    string    `json:"listen"`
	DataDir   string    `json:"data_dir"`
	ReplicaID uint64    `json:"replica_id"`
	Replicas  []replica `json:"replicas"`
}

type schedulerSettings struct {
	Name    string   `json:"name"`
	Domain  string   `json:"domain"`
	Listen  string   `json:"listen"`
	Control []string `json:"control"`
	Peer    address  `json:"peer"`
}

type gatewaySettings struct {
	Name       string    `json:"name"`
	Domain     string    `json:"domain"`
	Listen     string    `json:"listen"`
	Control    []string  `json:"control"`
	Schedulers []address `json:"schedulers"`
}

type resources struct {
	CPUMillis    int64 `json:"cpu_millis"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
}

type workerSettings struct {
	Name        string    `json:"name"`
	Domain      string    `json:"domain"`
	Rack        string    `json:"rack"`
	Listen      string    `json:"listen"`
	Schedulers  []string  `json:"schedulers"`
	Capacity    resources `json:"capacity"`
	Slots       int       `json:"slots"`
	Connections int       `json:"connections"`
	Services    []string  `json:"services"`
	RecordFile  string    `json:"record_file"`
}

// newFleet writes the settings of every process of a layout. Each fleet has a
// loopback address of its own, so that fixed ports never collide.
func newFleet(dir string, l layout) (*fleet, error) {
	pid := os.Getpid()
	f := &fleet{
		layout: l, dir: dir, port: firstPort,
		ip:         fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, 1+fleets.Add(1)),
		schedulers: map[string][]*process{}, gateways: map[string][]*process{}, workers: map[string][]*process{},
		addresses: map[string]string{},
	}
	f.reserveAddresses()
	if err := f.writeControls(); err != nil {
		return nil, err
	}
	for _, domain := range l.domains {
		if err := f.writeDomain(domain); err != nil {
			return nil, err
		}
	}
	f.client = &operator.Client{Gateways: f.gatewayAddresses(), Operator: "e2e", HTTP: &http.Client{}}
	return f, nil
}

func (f *fleet) reserve(name string) {
	f.port++
	f.addresses[name] = fmt.Sprintf("%s:%d", f.ip, f.port)
}

func (f *fleet) reserveAddresses() {
	for i := range f.controlDomains {
		f.reserve(controlName(i))
	}
	for _, domain := range f.domains {
		for i := range 2 {
			f.reserve(schedulerName(domain, i))
		}
		for i := range f.gatewaysPer {
			f.reserve(gatewayName(domain, i))
		}
		for i := range f.workersPer {
			f.reserve(workerName(domain, i))
		}
	}
}

func controlName(i int) string                  { return fmt.Sprintf("control-%d", i+1) }
func schedulerName(domain string, i int) string { return fmt.Sprintf("scheduler-%s-%d", domain, i+1) }
func gatewayName(domain string, i int) string   { return fmt.Sprintf("gateway-%s-%d", domain, i+1) }
func workerName(domain string, i int) string    { return fmt.Sprintf("worker-%s-%d", domain, i+1) }

func (f *fleet) controlAddresses() []string {
	var list []string
	for i := range f.controlDomains {
		list = append(list, f.addresses[controlName(i)])
	}
	return list
}

func (f *fleet) gatewayAddresses() []string {
	var list []string
	for _, domain := range f.domains {
		for i := range f.gatewaysPer {
			list = append(list, f.addresses[gatewayName(domain, i)])
		}
	}
	return list
}

func (f *fleet) schedulerAddresses() []address {
	var list []address
	for _, domain := range f.domains {
		for i := range 2 {
			name := schedulerName(domain, i)
			list = append(list, address{Name: name, Domain: domain, Address: f.addresses[name]})
		}
	}
	return list
}

func (f *fleet) writeControls() error {
	var replicas []replica
	for i, domain := range f.controlDomains {
		replicas = append(replicas, replica{ID: uint64(i + 1), Address: f.addresses[controlName(i)], Domain: domain})
	}
	for i, domain := range f.controlDomains {
		name := controlName(i)
		p, err := newProcess(f.dir, "geranium-control", name, controlSettings{
			Name: name, Domain: domain, Listen: f.addresses[name], DataDir: filepath.Join(f.dir, name),
			ReplicaID: uint64(i + 1), Replicas: replicas,
		})
		if err != nil {
			return err
		}
		f.controls = append(f.controls, p)
	}
	return nil
}

func (f *fleet) writeDomain(domain string) error {
	for i := range 2 {
		name, peer := schedulerName(domain, i), schedulerName(domain, 1-i)
		p, err := newProcess(f.dir, "geranium-scheduler", name, schedulerSettings{
			Name: name, Domain: domain, Listen: f.addresses[name], Control: f.controlAddresses(),
			Peer: address{Name: peer, Address: f.addresses[peer]},
		})
		if err != nil {
			return err
		}
		f.schedulers[domain] = append(f.schedulers[domain], p)
	}
	for i := range f.gatewaysPer {
		name := gatewayName(domain, i)
		p, err := newProcess(f.dir, "geranium-gateway", name, gatewaySettings{
			Name: name, Domain: domain, Listen: f.addresses[name], Control: f.controlAddresses(),
			Schedulers: f.schedulerAddresses(),
		})
		if err != nil {
			return err
		}
		f.gateways[domain] = append(f.gateways[domain], p)
	}
	for i := range f.workersPer {
		name := workerName(domain, i)
		p, err := newProcess(f.dir, "fakeworker", name, workerSettings{
			Name: name, Domain: domain, Rack: fmt.Sprintf("%s-rack-%d", domain, i/max(1, f.workersInOneRack)),
			Listen:     f.addresses[name],
			Schedulers: []string{f.addresses[schedulerName(domain, 0)], f.addresses[schedulerName(domain, 1)]},
			Capacity:   resources{CPUMillis: 32_000, MemoryMB: 125_000},
			Slots:      workerSlots, Connections: workerConns, Services: f.services,
			RecordFile: filepath.Join(f.dir, name+".record"),
		})
		if err != nil {
			return err
		}
		f.workers[domain] = append(f.workers[domain], p)
	}
	return nil
}

func (f *fleet) all() []*process {
	list := append([]*process(nil), f.controls...)
	for _, domain := range f.domains {
		list = append(list, f.schedulers[domain]...)
		list = append(list, f.gateways[domain]...)
		list = append(list, f.workers[domain]...)
	}
	return list
}

// start starts every process and waits until each gateway is ready.
func (f *fleet) start(ctx context.Context) error {
	for _, p := range f.all() {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, gateway := range f.gatewayAddresses() {
		if err := waitHealthy(ctx, gateway); err != nil {
			return err
		}
	}
	return nil
}

func waitHealthy(ctx context.Context, gateway string) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+gateway+"/healthz", nil)
		if err != nil {
			return err
		}
		answer, err := http.DefaultClient.Do(request)
		if err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("gateway %s is not healthy: %w", gateway, err)
		}
		time.Sleep(readyInterval)
	}
}

// killAll ends every process; it is for cleaning up.
func (f *fleet) killAll() {
	for _, p := range f.all() {
		if p.running() {
			p.thaw()
			p.kill()
		}
	}
}

// geranium runs the operator command against all gateways of the fleet.
func (f *fleet) geranium(stdin []byte, arguments ...string) (string, error) {
	command := exec.Command(binaryPath("geranium"),
		append([]string{"-gateways", strings.Join(f.gatewayAddresses(), ","), "-operator", "e2e"}, arguments...)...)
	command.Stdin = bytes.NewReader(stdin)
	var out, problems bytes.Buffer
	command.Stdout, command.Stderr = &out, &problems
	err := command.Run()
	if err != nil {
		err = fmt.Errorf("geranium %v: %w: %s", arguments, err, problems.String())
	}
	return out.String(), err
}
