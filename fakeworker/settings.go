// Package fakeworker is a stand-in worker for tests and the demo. It follows the
// protocol of package workerapi: it fences by session, epoch and attempt, counts
// leases from when it sent the heartbeat, and enforces its slots and its
// capacity. Work is simulated by time, and every start and end is appended to a
// record file.
package fakeworker

import (
	"fmt"

	"geraniumwall/settings"
	"geraniumwall/transport"
	"geraniumwall/workerapi"
)

// Slowdown is how running tasks slow services down. The latency of a service is
// multiplied by 1 plus the sum over the running tasks of the coefficient of the
// job times its share of the processors.
type Slowdown struct {
	Default float64            `json:"default"`
	Jobs    map[string]float64 `json:"jobs,omitempty"`
}

// Settings of a worker.
type Settings struct {
	Name        string              `json:"name"`
	Domain      string              `json:"domain"`
	Rack        string              `json:"rack"`
	Listen      string              `json:"listen"`
	Schedulers  []string            `json:"schedulers"`
	Capacity    workerapi.Resources `json:"capacity"`
	Slots       int                 `json:"slots"`
	Connections int                 `json:"connections"`
	Services    []string            `json:"services"`
	// RecordFile receives one JSON line for each event; empty for none.
	RecordFile string    `json:"record_file"`
	Slowdown   *Slowdown `json:"slowdown,omitempty"`
	// ReportLagMS delays the measurements of services.
	ReportLagMS int64 `json:"report_lag_ms"`
	// TLS secures all traffic of the worker; nil for none.
	TLS *transport.Settings `json:"tls,omitempty"`
}

const (
	defaultSlots       = 8
	defaultConnections = 64
	defaultReportLagMS = 2000
)

// Defaults returns the settings before the file is read.
func Defaults() *Settings {
	return &Settings{
		Listen: "127.0.0.1:0", Slots: defaultSlots, Connections: defaultConnections,
		Capacity:    workerapi.Resources{CPUMillis: 32_000, MemoryMB: 125_000},
		ReportLagMS: defaultReportLagMS,
	}
}

// Check reports every problem of the settings.
func (s *Settings) Check(c *settings.Checker) {
	c.Required("name", s.Name)
	c.Required("domain", s.Domain)
	c.Address("listen", s.Listen)
	c.Addresses("schedulers", s.Schedulers)
	s.TLS.Check(c, "tls")
	c.Positive("capacity.cpu_millis", s.Capacity.CPUMillis)
	c.Positive("capacity.memory_mb", s.Capacity.MemoryMB)
	if s.Slots < 0 || s.Slots > s.Connections {
		c.Add("slots", fmt.Sprintf("%d is not between 0 and the connections", s.Slots), "use 0 to the number of connections")
	}
	if s.ReportLagMS < 0 {
		c.Add("report_lag_ms", "is negative", "use 0 or more")
	}
}
