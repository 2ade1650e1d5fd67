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

	"geraniumwall/fakeworker"
	"geraniumwall/membership/gossip"
	"geraniumwall/operator"
	"geraniumwall/transport"
	"geraniumwall/workerapi"
)

const (
	firstPort     = 21000
	metricsSuffix = "/metrics"
	gossipSuffix  = "/gossip"
	keyFile       = "gossip.key"
	readyTimeout  = 20 * time.Second
	readyInterval = 50 * time.Millisecond
	workerSlots   = 8
	workerConns   = 64
	// workerReportLagMS is the shortest lag of the brief's late measurements.
	workerReportLagMS = 2000
)

// layout is the shape of a fleet.
type layout struct {
	domains          []string
	controlDomains   []string
	gatewaysPer      int
	workersPer       int
	workersInOneRack int
	services         []string
	// cuttable puts a relay on every connection between domains.
	cuttable bool
	// secured gives every process keys; callers then use TLS too.
	secured bool
	// binaries is the directory of the version that the fleet starts with; empty for
	// this one.
	binaries string
	// membership makes the processes find each other: the settings of a gateway list
	// one control replica and one scheduler only.
	membership bool
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
	links      map[[2]string]*direction // by the two domains in order of name
	relays     []*relay
	client     *operator.Client
	keys       *fleetKeys
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
	Metrics   string    `json:"metrics_listen"`
	ReplicaID uint64    `json:"replica_id"`
	Replicas  []replica `json:"replicas"`

	TLS        *transport.Settings  `json:"tls,omitempty"`
	Membership *gossip.JoinSettings `json:"membership,omitempty"`
}

type schedulerSettings struct {
	Name    string   `json:"name"`
	Domain  string   `json:"domain"`
	Listen  string   `json:"listen"`
	Metrics string   `json:"metrics_listen"`
	Control []string `json:"control"`
	Peer    address  `json:"peer"`

	TLS        *transport.Settings  `json:"tls,omitempty"`
	Membership *gossip.JoinSettings `json:"membership,omitempty"`
}

type gatewaySettings struct {
	Name       string    `json:"name"`
	Domain     string    `json:"domain"`
	Listen     string    `json:"listen"`
	Metrics    string    `json:"metrics_listen"`
	Control    []string  `json:"control"`
	Schedulers []address `json:"schedulers"`

	TLS        *transport.Settings  `json:"tls,omitempty"`
	Membership *gossip.JoinSettings `json:"membership,omitempty"`
}

// newFleet writes the settings of every process of a layout. Each fleet has a
// loopback address of its own, so that fixed ports never collide.
func newFleet(dir string, l layout) (*fleet, error) {
	pid := os.Getpid()
	f := &fleet{
		layout: l, dir: dir, port: firstPort,
		ip:         fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, 1+fleets.Add(1)),
		schedulers: map[string][]*process{}, gateways: map[string][]*process{}, workers: map[string][]*process{},
		addresses: map[string]string{}, links: map[[2]string]*direction{},
	}
	if err := f.makeKeys(); err != nil {
		return nil, err
	}
	f.reserveAddresses()
	if err := os.WriteFile(filepath.Join(dir, keyFile), []byte(strings.Repeat("secret of a test ", 2)), 0o600); err != nil {
		return nil, err
	}
	if err := f.writeControls(); err != nil {
		return nil, err
	}
	for _, domain := range l.domains {
		if err := f.writeDomain(domain); err != nil {
			return nil, err
		}
	}
	f.client = &operator.Client{Gateways: f.gatewayAddresses(), Operator: "e2e", HTTP: &http.Client{}}
	return f, f.secureOperator()
}

func (f *fleet) reserve(name string) {
	f.port++
	f.addresses[name] = fmt.Sprintf("%s:%d", f.ip, f.port)
	f.port++
	f.addresses[name+metricsSuffix] = fmt.Sprintf("%s:%d", f.ip, f.port)
	f.port++
	f.addresses[name+gossipSuffix] = fmt.Sprintf("%s:%d", f.ip, f.port)
}

// join returns the membership settings of a process; nil where there are none.
func (f *fleet) join(name string) *gossip.JoinSettings {
	if !f.membership {
		return nil
	}
	return &gossip.JoinSettings{
		Listen: f.addresses[name+gossipSuffix], KeyFile: filepath.Join(f.dir, keyFile),
		Seeds: []string{f.addresses[controlName(0)+gossipSuffix], f.addresses[controlName(1)+gossipSuffix]},
	}
}

// metrics is the address of the metrics of a process.
func (f *fleet) metrics(name string) string { return f.addresses[name+metricsSuffix] }

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

// address returns the address at which a process of a domain reaches another.
func (f *fleet) address(fromDomain, name, domain string) (string, error) {
	if !f.cuttable || fromDomain == domain {
		return f.addresses[name], nil
	}
	f.port++
	listen := fmt.Sprintf("%s:%d", f.ip, f.port)
	r, err := newRelay(listen, f.addresses[name], f.direction(fromDomain, domain), f.direction(domain, fromDomain))
	if err != nil {
		return "", err
	}
	f.relays = append(f.relays, r)
	return listen, nil
}

func (f *fleet) direction(from, to string) *direction {
	key := [2]string{from, to}
	if f.links[key] == nil {
		f.links[key] = &direction{}
	}
	return f.links[key]
}

// cutOff cuts a domain off from all others, or joins it again.
func (f *fleet) cutOff(domain string, cut bool) {
	f.cutFrom(domain, cut)
	f.cutTo(domain, cut)
}

// cutFrom drops what a domain sends to the others, and nothing else.
func (f *fleet) cutFrom(domain string, cut bool) {
	for key, d := range f.links {
		if key[0] == domain {
			d.cut.Store(cut)
		}
	}
}

// cutTo drops what the others send to a domain, and nothing else.
func (f *fleet) cutTo(domain string, cut bool) {
	for key, d := range f.links {
		if key[1] == domain {
			d.cut.Store(cut)
		}
	}
}

// slow gives every direction a delay and a rate in bytes per second.
func (f *fleet) slow(delay time.Duration, rate int64) {
	for _, d := range f.links {
		d.delay.Store(int64(delay))
		d.rate.Store(rate)
	}
}

func (f *fleet) controlAddresses(fromDomain string) ([]string, error) {
	var list []string
	for i, domain := range f.controlDomains {
		reached, err := f.address(fromDomain, controlName(i), domain)
		if err != nil {
			return nil, err
		}
		list = append(list, reached)
	}
	return list, nil
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

func (f *fleet) schedulerAddresses(fromDomain string) ([]address, error) {
	var list []address
	for _, domain := range f.domains {
		for i := range 2 {
			name := schedulerName(domain, i)
			reached, err := f.address(fromDomain, name, domain)
			if err != nil {
				return nil, err
			}
			list = append(list, address{Name: name, Domain: domain, Address: reached})
		}
	}
	return list, nil
}

func (f *fleet) writeControls() error {
	for i, domain := range f.controlDomains {
		var replicas []replica
		for j, other := range f.controlDomains {
			reached, err := f.address(domain, controlName(j), other)
			if err != nil {
				return err
			}
			replicas = append(replicas, replica{ID: uint64(j + 1), Address: reached, Domain: other})
		}
		name := controlName(i)
		p, err := newProcess(f.dir, "geranium-control", name, controlSettings{
			Name: name, Domain: domain, Listen: f.addresses[name], Metrics: f.metrics(name),
			DataDir: filepath.Join(f.dir, name), ReplicaID: uint64(i + 1), Replicas: replicas,
			TLS: f.keys.of(transport.RoleControl, name), Membership: f.join(name),
		})
		if err != nil {
			return err
		}
		f.controls = append(f.controls, p)
	}
	return nil
}

func (f *fleet) writeDomain(domain string) error {
	control, err := f.controlAddresses(domain)
	if err != nil {
		return err
	}
	schedulers, err := f.schedulerAddresses(domain)
	if err != nil {
		return err
	}
	for i := range 2 {
		name, peer := schedulerName(domain, i), schedulerName(domain, 1-i)
		if err := f.add(f.schedulers, domain, "geranium-scheduler", name, schedulerSettings{
			Name: name, Domain: domain, Listen: f.addresses[name], Metrics: f.metrics(name), Control: control,
			Peer: address{Name: peer, Address: f.addresses[peer]},
			TLS:  f.keys.of(transport.RoleScheduler, name), Membership: f.join(name),
		}); err != nil {
			return err
		}
	}
	if f.membership {
		control = control[:1]
		schedulers = []address{{Name: schedulerName(domain, 0), Domain: domain, Address: f.addresses[schedulerName(domain, 0)]}}
	}
	for i := range f.gatewaysPer {
		name := gatewayName(domain, i)
		if err := f.add(f.gateways, domain, "geranium-gateway", name, gatewaySettings{
			Name: name, Domain: domain, Listen: f.addresses[name], Metrics: f.metrics(name),
			Control: control, Schedulers: schedulers, TLS: f.keys.of(transport.RoleGateway, name), Membership: f.join(name),
		}); err != nil {
			return err
		}
	}
	for i := range f.workersPer {
		name := workerName(domain, i)
		if err := f.add(f.workers, domain, "fakeworker", name, fakeworker.Settings{
			Name: name, Domain: domain, Rack: fmt.Sprintf("%s-rack-%d", domain, i/max(1, f.workersInOneRack)),
			Listen:     f.addresses[name],
			Schedulers: []string{f.addresses[schedulerName(domain, 0)], f.addresses[schedulerName(domain, 1)]},
			Capacity:   workerapi.Resources{CPUMillis: 32_000, MemoryMB: 125_000},
			Slots:      workerSlots, Connections: workerConns, Services: f.services,
			RecordFile: filepath.Join(f.dir, name+".record"), ReportLagMS: workerReportLagMS,
			TLS: f.keys.of(transport.RoleWorker, name),
		}); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) add(to map[string][]*process, domain, binary, name string, settings any) error {
	p, err := newProcess(f.dir, binary, name, settings)
	if err != nil {
		return err
	}
	to[domain] = append(to[domain], p)
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
		p.binaries = f.binaries
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, gateway := range f.gatewayAddresses() {
		if err := f.waitHealthy(ctx, gateway); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) waitHealthy(ctx context.Context, gateway string) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+gateway+"/healthz", nil)
		if err != nil {
			return err
		}
		answer, err := f.keys.caller().Do(request)
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
	for _, r := range f.relays {
		r.close()
	}
}

// geranium runs the operator command against all gateways of the fleet.
func (f *fleet) geranium(stdin []byte, arguments ...string) (string, error) {
	global := append([]string{"-gateways", strings.Join(f.gatewayAddresses(), ","), "-operator", "e2e"}, f.operatorFlags()...)
	command := exec.Command(binaryPath("geranium"), append(global, arguments...)...)
	command.Stdin = bytes.NewReader(stdin)
	var out, problems bytes.Buffer
	command.Stdout, command.Stderr = &out, &problems
	err := command.Run()
	if err != nil {
		err = fmt.Errorf("geranium %v: %w: %s", arguments, err, problems.String())
	}
	return out.String(), err
}
