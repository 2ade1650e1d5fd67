package main

import (
	"fmt"

	"geraniumwall/daemon"
	"geraniumwall/membership/gossip"
	"geraniumwall/settings"
	"geraniumwall/transport"
)

// defaultDrainMS is the time that a load balancer gets to notice readyz.
const defaultDrainMS = 2000

// schedulerSettings names one scheduler.
type schedulerSettings struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
}

// settingsFile is the JSON settings of the gateway.
type settingsFile struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Listen and MetricsListen are IP addresses with a port.
	Listen        string `json:"listen"`
	MetricsListen string `json:"metrics_listen"`
	// OTLPEndpoint is the URL of an OTLP metrics endpoint; empty for none.
	OTLPEndpoint string              `json:"otlp_endpoint"`
	Control      []string            `json:"control"`
	Schedulers   []schedulerSettings `json:"schedulers"`
	// DrainMS is the time in milliseconds between the first readyz answer 503 and
	// the end of accepting connections. Requests in progress always finish.
	DrainMS int64 `json:"drain_ms"`
	// TLS secures all traffic of the process; nil for none.
	TLS *transport.Settings `json:"tls,omitempty"`
	// PlainListen is a second address, without TLS, for callers that cannot use it;
	// empty for none. Operators are not served there.
	PlainListen string `json:"plain_listen,omitempty"`
	// Membership may be omitted; the gateway then knows the schedulers listed here only.
	Membership *gossip.JoinSettings `json:"membership,omitempty"`
	// MemoryMB is the memory of the host in MB, from which the room for requests is derived; 0
	// for what the process sees, 1024 at most.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// Intake limits what clients may send.
	Intake transport.IntakeSettings `json:"intake,omitzero"`
}

func defaultSettings() *settingsFile {
	return &settingsFile{
		Listen: "127.0.0.1:7000", MetricsListen: "127.0.0.1:7001",
		Control: []string{}, Schedulers: []schedulerSettings{}, DrainMS: defaultDrainMS,
	}
}

// Check reports every problem of the settings.
func (s *settingsFile) Check(c *settings.Checker) {
	c.Required("name", s.Name)
	c.Required("domain", s.Domain)
	c.Address("listen", s.Listen)
	if s.MetricsListen != "" {
		c.Address("metrics_listen", s.MetricsListen)
	}
	daemon.CheckOTLP(c, s.OTLPEndpoint)
	s.TLS.Check(c, "tls")
	if s.PlainListen != "" {
		c.Address("plain_listen", s.PlainListen)
	}
	if s.PlainListen != "" && s.TLS == nil {
		c.Add("plain_listen", "is set without tls", "remove it; without tls the address listen is plain")
	}
	c.Addresses("control", s.Control)
	s.Membership.Check(c)
	s.Intake.Check(c, s.MemoryMB)
	if len(s.Schedulers) == 0 {
		c.Add("schedulers", "is empty", "list the schedulers of the own domain and of the others")
	}
	names := map[string]bool{}
	for i, peer := range s.Schedulers {
		place := fmt.Sprintf("schedulers[%d]", i)
		c.Required(place+".name", peer.Name)
		c.Required(place+".domain", peer.Domain)
		c.Address(place+".address", peer.Address)
		if names[peer.Name] {
			c.Add(place+".name", fmt.Sprintf("%q is listed twice", peer.Name), "give every scheduler its own name")
		}
		names[peer.Name] = true
	}
	if s.DrainMS < 0 {
		c.Add("drain_ms", "is negative", "use 0 or a number of milliseconds")
	}
}
