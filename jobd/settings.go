package jobd

import (
	"fmt"
	"maps"
	"net"
	"net/netip"
	"path/filepath"
	"slices"
	"time"

	"geraniumwall/jobs/dispatch"
	"geraniumwall/settings"
	"geraniumwall/transport"
)

// minWeight and maxWeight bound the weight of a queue or workspace. A queue with weight 0
// would never be below its share.
const (
	minWeight = 0.001
	maxWeight = 1000
)

// maxRemoteSlowdown bounds the ratio of the setting remote_slowdown. Durations of jobs times
// this ratio stay in the range of a time.Duration.
const maxRemoteSlowdown = 100

// Settings are the settings of a job replica.
type Settings struct {
	// Name is the name of the process, for logs.
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Listen is the address for workers and operators.
	Listen string `json:"listen"`
	// PeerListen is the address of the internal API.
	PeerListen string `json:"peer_listen"`
	// PeerBind is the address to listen at instead of PeerListen if a proxy listens at
	// PeerListen; empty for none.
	PeerBind string `json:"peer_bind"`
	// MetricsListen is the address for metrics; empty to serve none.
	MetricsListen string `json:"metrics_listen"`
	// Seeds are the addresses of some replicas. Their port is replaced by the port of
	// PeerListen, which is the same on all hosts.
	Seeds []string `json:"seeds"`
	// FirstStart is true if the whole system starts for the first time. The seeds then
	// bootstrap the log.
	FirstStart bool   `json:"first_start"`
	DataDir    string `json:"data_dir"`
	// HeartbeatMS is the interval of worker heartbeats in milliseconds.
	HeartbeatMS int64 `json:"heartbeat_ms"`
	// LeaseMS is the lease of a worker in milliseconds: how long its tasks keep running
	// without contact to the leader, and how long they wait if the worker is lost.
	LeaseMS int64 `json:"lease_ms"`
	// CapacityGraceMS is how long, besides one heartbeat interval, a worker whose capacity has
	// shrunk may still get tasks beyond it, in milliseconds. A worker that has reported
	// nothing for so long gets no new tasks. With 0 it gets them for four heartbeat
	// intervals.
	CapacityGraceMS int64 `json:"capacity_grace_ms"`
	// EvacuationApplyMS is the time within which the evacuation of a failure domain has to be
	// in force, in milliseconds; 0 if the deployment does not use evacuations.
	EvacuationApplyMS int64 `json:"evacuation_apply_ms"`
	// Domains are the failure domains of the deployment. An operator may name one that has no
	// worker yet only if it is listed.
	Domains []string `json:"domains"`
	// RemoteSlowdown is the ratio of the duration of a task away from its data or its group to
	// that near them. Above 1 tasks wait for a place near them while the wait is worthwhile;
	// with 0 and 1 they don't.
	RemoteSlowdown float64 `json:"remote_slowdown"`
	// MinWorkersForCarriers is the number of workers from which on carriers, the other
	// replicas, send the leader's orders to workers; 0 for never. In smaller fleets the
	// leader calls the workers itself, since each replica in between is another point of
	// failure.
	MinWorkersForCarriers int `json:"carry_from_workers"`
	// LargeFleetWorkers is the number of registered workers from which on each carrier calls a
	// fixed share of them, idle connections to workers are closed soon, and followers pass
	// heartbeats on in batches; 0 for never.
	LargeFleetWorkers int `json:"large_fleet_workers"`
	// MaxOpenFiles is the limit of open files, sockets included, that the metrics show if the
	// resource limit of the process is not lower; 0 for the resource limit.
	MaxOpenFiles int64 `json:"max_open_files"`
	// FairShares lets queues and workspaces below their share of the fleet go first; missing
	// to ignore shares.
	FairShares *FairShares `json:"fair_shares"`
	// Admission refuses jobs that can't end in time; missing to accept all.
	Admission *Admission `json:"admission"`
	// MemoryMB is the memory of the host in MB, from which the room for requests is derived; 0
	// for what the process sees, 1024 at most.
	MemoryMB int64 `json:"memory_mb"`
	// Intake limits what clients may send.
	Intake transport.IntakeSettings `json:"intake"`
	// ShutdownTimeoutMS limits the duration of a graceful shutdown, in milliseconds.
	ShutdownTimeoutMS int64 `json:"stop_within_ms"`
}

// FairShares are the settings of shares.
type FairShares struct {
	// Weights are the weights of queues and workspaces by name. Others have weight 1.
	Weights map[string]float64 `json:"weights"`
}

// Admission are the settings of admission.
type Admission struct {
	Enabled bool `json:"enabled"`
}

func (a *Admission) enabled() bool { return a != nil && a.Enabled }

// check adds the problems of the settings.
func (f *FairShares) check(c *settings.Checker) {
	if f == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(f.Weights)) {
		if weight := f.Weights[name]; weight < minWeight || weight > maxWeight {
			c.Add("fair_shares.weights."+name, fmt.Sprintf("%v is out of range", weight), fmt.Sprintf("use a number from %v to %v", minWeight, maxWeight))
		}
	}
}

// options returns the settings for the dispatcher, nil without shares.
func (f *FairShares) options() *dispatch.FairShares {
	if f == nil {
		return nil
	}
	return &dispatch.FairShares{Weights: f.Weights}
}

// Check implements settings.Checked.
func (s *Settings) Check(c *settings.Checker) {
	c.Required("name", s.Name)
	c.Required("data_dir", s.DataDir)
	c.Address("listen", s.Listen)
	c.Address("peer_listen", s.PeerListen)
	c.Addresses("seeds", s.Seeds)
	c.Positive("heartbeat_ms", s.HeartbeatMS)
	c.Positive("lease_ms", s.LeaseMS)
	c.Positive("stop_within_ms", s.ShutdownTimeoutMS)
	c.NotNegative("carry_from_workers", int64(s.MinWorkersForCarriers))
	c.NotNegative("large_fleet_workers", int64(s.LargeFleetWorkers))
	c.NotNegative("capacity_grace_ms", s.CapacityGraceMS)
	c.NotNegative("max_open_files", s.MaxOpenFiles)
	if s.EvacuationApplyMS != 0 {
		c.Positive("evacuation_apply_ms", s.EvacuationApplyMS)
	}
	for _, domain := range s.Domains {
		if domain == "" || len(domain) > maxDomainBytes {
			c.Add("domains", fmt.Sprintf("%.64q is empty or has over %d bytes", domain, maxDomainBytes), "list the names of the failure domains")
		}
	}
	s.FairShares.check(c)
	if s.RemoteSlowdown != 0 && (s.RemoteSlowdown < 1 || s.RemoteSlowdown > maxRemoteSlowdown) {
		c.Add("remote_slowdown", fmt.Sprintf("%g is not a ratio from 1 to %d", s.RemoteSlowdown, maxRemoteSlowdown),
			"use a ratio such as 1.5, or 0 so that no task waits for a place")
	}
	s.Intake.Check(c, s.MemoryMB)
	if s.PeerBind != "" {
		c.Address("peer_bind", s.PeerBind)
	}
	if s.MetricsListen != "" {
		c.Address("metrics_listen", s.MetricsListen)
	}
}

func (s *Settings) lease() time.Duration     { return time.Duration(s.LeaseMS) * time.Millisecond }
func (s *Settings) heartbeat() time.Duration { return time.Duration(s.HeartbeatMS) * time.Millisecond }
func (s *Settings) capacityGrace() time.Duration {
	return time.Duration(s.CapacityGraceMS) * time.Millisecond
}
func (s *Settings) shutdownTimeout() time.Duration {
	return time.Duration(s.ShutdownTimeoutMS) * time.Millisecond
}
func (s *Settings) logDir() string       { return filepath.Join(s.DataDir, "log") }
func (s *Settings) identityFile() string { return filepath.Join(s.DataDir, "identity.json") }

// PeerAddresses returns the internal API addresses of the seeds.
func PeerAddresses(seeds []string, peerListen string) ([]string, error) {
	_, port, err := splitAddress(peerListen)
	if err != nil || port == "0" {
		return nil, fmt.Errorf("peer_listen %q is not an IP address with a port from 1 to 65535; use the form 192.0.2.1:7000", peerListen)
	}
	var addresses []string
	for _, seed := range seeds {
		host, _, err := splitAddress(seed)
		if err != nil {
			return nil, fmt.Errorf("seed %q: %w; use the form 192.0.2.1:7000", seed, err)
		}
		addresses = append(addresses, net.JoinHostPort(host, port))
	}
	return addresses, nil
}

// splitAddress returns the host and the port as they are written, since replicas are
// told apart by the text of their addresses.
func splitAddress(address string) (host, port string, err error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return "", "", err
	}
	return net.SplitHostPort(address)
}
