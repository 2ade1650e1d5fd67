package e2e_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"geraniumwall/entry"
	"geraniumwall/jobd"
	"geraniumwall/platform/standin"
	relayapi "geraniumwall/relay"
)

const (
	jobControlPort = "7200"
	jobPeerPort    = "7100"
	jobEntryPort   = "7300"
	jobReadyPort   = "7301"
	jobWorkerPort  = "7400"
	jobBeat        = 300 * time.Millisecond
	jobLease       = 3 * time.Second
	jobWorkerCPU   = 4000
	// jobStopTime is how long a worker takes to stop a task, jobDowntime how long it is
	// down after a task has crashed it.
	jobStopTime = 200 * time.Millisecond
	jobDowntime = time.Second
	// jobShrinkGrace is how long the former capacity of a worker that has shrunk may still
	// be used: the contact time of the platform and one heartbeat.
	jobShrinkGrace = 3*time.Second + jobBeat
)

// supervised is a process that is started again after it has ended, as the platform
// does.
type supervised struct {
	*process
	// startAt is when the process is to be started, while it does not run.
	startAt time.Time
	dataDir string
	// faultyUntil is until when requests to the process may end without an answer, in Unix
	// nanoseconds: it was killed or frozen. Planned signals don't count.
	faultyUntil atomic.Int64
}

// expectFault tells that requests to the process may end without an answer for a time.
func (s *supervised) expectFault(length time.Duration) {
	s.faultyUntil.Store(max(s.faultyUntil.Load(), time.Now().Add(length+faultAftermath).UnixNano()))
}

// calmSince reports whether no fault has struck the process from a time on until now.
func (s *supervised) calmSince(t time.Time) bool { return s.faultyUntil.Load() < t.UnixNano() }

// faultAftermath is how long the effects of a fault last after its end.
const faultAftermath = 3 * time.Second

// restartDue starts the process again if it has ended and its time has come.
func (s *supervised) restartDue(now time.Time) error {
	if s.running() {
		select {
		case <-s.exit.done:
			s.command = nil
			s.startAt = now.Add(restartPause)
		default:
		}
	}
	if s.running() || now.Before(s.startAt) {
		return nil
	}
	return s.start()
}

// endedBySignal returns the signal that has ended the process by its default effect, 0 if
// none has.
func (s *supervised) endedBySignal() syscall.Signal {
	if !s.running() {
		return 0
	}
	select {
	case <-s.exit.done:
	default:
		return 0
	}
	status, ok := s.command.ProcessState.Sys().(syscall.WaitStatus)
	if !ok || !status.Signaled() {
		return 0
	}
	return status.Signal()
}

// restartPause is the time between the end of a process and its next start.
const restartPause = 200 * time.Millisecond

// link is a relay in front of one process, with both of its directions.
type link struct {
	*relay
	there, back *direction
}

func newLink(listen, target string) (*link, error) {
	l := &link{there: &direction{}, back: &direction{}}
	var err error
	l.relay, err = newRelay(listen, target, l.there, l.back)
	return l, err
}

// heal ends all faults of the link.
func (l *link) heal() {
	for _, d := range []*direction{l.there, l.back} {
		d.cut.Store(false)
		d.delay.Store(0)
	}
}

// jobFleet is a deployment of job replicas, entries and stand-in workers. A relay
// stands in front of each replica and of each worker.
type jobFleet struct {
	dir string
	// network numbers the fleet, and added counts the replicas that it has ever had.
	network int32
	added   int
	// gone are the replicas that were taken away for good.
	gone     []*supervised
	replicas []*supervised
	entries  []*supervised
	control  []string
	fronts   []string
	workers  []*standin.Worker
	// zones are the failure domains of the first workers; that of others is "a".
	zones []string
	// peers are the links to the replicas, orders those to the workers.
	peers  []*link
	orders []*link
	record *standin.Record
}

// jobHost returns an address of the fleet: hosts below 100 are reached by others,
// those from 100 on are behind a relay.
func jobHost(network int32, host int, port string) string {
	return net.JoinHostPort(fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, 1+network%250, host), port)
}

// newJobFleet writes the settings of a fleet. From carryFrom workers on other replicas
// carry the orders of the leader; 0 for never.
func newJobFleet(dir string, replicas, entries, workers, carryFrom int) (*jobFleet, error) {
	network := fleets.Add(1)
	f := &jobFleet{dir: dir, network: network, record: standin.NewRecord()}
	var seeds []string
	for i := range replicas {
		f.control = append(f.control, f.controlAddress(i))
	}
	seeds = f.control[:min(3, replicas)]
	for range replicas {
		if err := f.addReplica(carryFrom, seeds, true); err != nil {
			return nil, err
		}
	}
	for i := range entries {
		if err := f.addEntry(network, i, seeds); err != nil {
			return nil, err
		}
	}
	for i := range workers {
		if err := f.addWorker(i, f.control); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// controlAddress returns the address for workers and operators of a replica.
func (f *jobFleet) controlAddress(i int) string { return jobHost(f.network, 10+i, jobControlPort) }

func (f *jobFleet) addReplica(carryFrom int, seeds []string, firstStart bool) error {
	i := f.added
	f.added++
	peer, bind := jobHost(f.network, 10+i, jobPeerPort), jobHost(f.network, 100+i, jobPeerPort)
	l, err := newLink(peer, bind)
	if err != nil {
		return err
	}
	f.peers = append(f.peers, l)
	name := fmt.Sprintf("jobs-%d", i+1)
	dataDir := filepath.Join(f.dir, name)
	p, err := newProcess(f.dir, "geranium-jobs", name, jobd.Settings{
		Name: name, Domain: "a", Listen: f.controlAddress(i), PeerListen: peer, PeerBind: bind, Seeds: seeds, FirstStart: firstStart,
		DataDir: dataDir, HeartbeatMS: jobBeat.Milliseconds(), LeaseMS: jobLease.Milliseconds(), ShutdownTimeoutMS: 3000,
		MinWorkersForCarriers: carryFrom, CapacityGraceMS: (jobShrinkGrace - jobBeat).Milliseconds(), EvacuationApplyMS: evacuationBound.Milliseconds(), Domains: []string{"a", "b"},
	})
	if err != nil {
		return err
	}
	f.replicas = append(f.replicas, &supervised{process: p, dataDir: dataDir})
	return nil
}

func (f *jobFleet) addEntry(network int32, i int, seeds []string) error {
	name, listen := fmt.Sprintf("entry-%d", i+1), jobHost(network, 50+i, jobEntryPort)
	p, err := newProcess(f.dir, "geranium-entry", name, entry.Settings{
		Name: name, Domain: "a", Listen: listen, ReadyListen: jobHost(network, 50+i, jobReadyPort),
		PeerListen: jobHost(network, 50+i, jobPeerPort), Seeds: seeds, ShutdownTimeoutMS: 2000,
	})
	if err != nil {
		return err
	}
	f.fronts = append(f.fronts, listen)
	f.entries = append(f.entries, &supervised{process: p})
	return nil
}

func (f *jobFleet) addWorker(i int, control []string) error {
	address, bind := jobHost(f.network, 70+i, jobWorkerPort), jobHost(f.network, 170+i, jobWorkerPort)
	l, err := newLink(address, bind)
	if err != nil {
		return err
	}
	f.orders = append(f.orders, l)
	zone := ""
	if i < len(f.zones) {
		zone = f.zones[i]
	}
	w := standin.NewWorker(standin.Settings{
		ID: fmt.Sprintf("i-%d", i), Listen: bind, Address: address, Control: control, Service: "s", MilliCPU: jobWorkerCPU, Zone: zone,
		Beat: jobBeat, Lease: jobLease, ClockRate: 0.98 + 0.02*float64(i%3),
		ShrinkGrace: jobShrinkGrace, StopTime: jobStopTime, Downtime: jobDowntime, RenewID: i%2 == 1,
	}, f.record)
	f.workers = append(f.workers, w)
	return w.Start()
}

// startSuccessor adds an empty replica at a new address, which the next step starts.
func (f *jobFleet) startSuccessor() error {
	seeds := f.control
	f.control = append(slices.Clone(f.control), f.controlAddress(f.added))
	return f.addReplica(0, seeds, false)
}

// takeAway takes a replica that has ended away for good.
func (f *jobFleet) takeAway(r *supervised) error {
	i := slices.Index(f.replicas, r)
	f.peers[i].close()
	f.gone = append(f.gone, r)
	f.replicas = slices.Delete(f.replicas, i, i+1)
	f.peers = slices.Delete(f.peers, i, i+1)
	f.control = slices.Delete(slices.Clone(f.control), i, i+1)
	return os.RemoveAll(r.dataDir)
}

// forgetFirstStart changes the settings of the replicas as the platform does once
// the system has started.
func (f *jobFleet) forgetFirstStart() error {
	for _, r := range f.replicas {
		data, err := os.ReadFile(r.settings)
		if err != nil {
			return err
		}
		var s jobd.Settings
		if err := json.Unmarshal(data, &s); err != nil {
			return err
		}
		s.FirstStart = false
		if data, err = json.Marshal(s); err != nil {
			return err
		}
		if err := os.WriteFile(r.settings, data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (f *jobFleet) processes() []*supervised {
	return append(append([]*supervised(nil), f.replicas...), f.entries...)
}

// leader returns the replica that leads, or nil if none says so.
func (f *jobFleet) leader() *supervised {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i, l := range f.peers {
		var view relayapi.ClusterView
		status, body := send(client, http.MethodGet, "http://"+l.target+relayapi.PathLeader, "", "")
		if status == http.StatusOK && json.Unmarshal([]byte(body), &view) == nil && view.IsLeader {
			return f.replicas[i]
		}
	}
	return nil
}

// keepLogs copies the logs to a directory that outlives the test, and returns it.
func (f *jobFleet) keepLogs() (string, error) {
	dir, err := os.MkdirTemp("", "geranium-soak-")
	if err != nil {
		return "", err
	}
	for _, p := range append(f.processes(), f.gone...) {
		data, err := os.ReadFile(p.logFile)
		if errors.Is(err, os.ErrNotExist) {
			continue // the process was never started
		}
		if err != nil {
			return "", err
		}
		if err := os.WriteFile(filepath.Join(dir, filepath.Base(p.logFile)), data, 0o600); err != nil {
			return "", err
		}
	}
	return dir, nil
}

func (f *jobFleet) close() {
	for _, p := range f.processes() {
		if p.running() {
			p.thaw()
			p.kill()
		}
	}
	for _, w := range f.workers {
		w.Crash()
	}
	for _, l := range append(append([]*link(nil), f.peers...), f.orders...) {
		l.close()
	}
}
