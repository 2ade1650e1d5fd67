package schedulerd

import (
	"geraniumwall/daemon"
	"geraniumwall/membership/gossip"
	"geraniumwall/settings"
	"geraniumwall/transport"
)

// Peer is the other scheduler of the domain.
type Peer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Settings configures a scheduler process.
type Settings struct {
	// Name is unique among the schedulers of all domains.
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Listen is the address for workers, gateways and the other scheduler.
	Listen        string `json:"listen"`
	MetricsListen string `json:"metrics_listen"`
	// OTLPEndpoint is the URL of an OTLP metrics endpoint; empty disables the export.
	OTLPEndpoint string `json:"otlp_endpoint"`
	// Control lists the addresses of the control replicas.
	Control []string `json:"control"`
	// Peer may be omitted where a domain has one scheduler.
	Peer *Peer `json:"peer,omitempty"`
	// TLS secures all traffic of the process; nil disables TLS.
	TLS *transport.Settings `json:"tls,omitempty"`
	// Membership may be omitted; gateways then need this scheduler in their settings.
	Membership *gossip.JoinSettings `json:"membership,omitempty"`
	// MemoryMB is the memory of the host in MB, from which the room for requests is derived; 0
	// for what the process sees, 1024 at most.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// Intake limits what clients may send.
	Intake transport.IntakeSettings `json:"intake,omitzero"`
}

// Defaults returns the settings that apply where the file sets none.
func Defaults() *Settings {
	return &Settings{Listen: "127.0.0.1:7200", MetricsListen: "127.0.0.1:7201"}
}

// Check reports all problems of the settings.
func (s *Settings) Check(c *settings.Checker) {
	c.Required("name", s.Name)
	c.Required("domain", s.Domain)
	c.Address("listen", s.Listen)
	if s.MetricsListen != "" {
		c.Address("metrics_listen", s.MetricsListen)
	}
	daemon.CheckOTLP(c, s.OTLPEndpoint)
	s.TLS.Check(c, "tls")
	c.Addresses("control", s.Control)
	s.Membership.Check(c)
	s.Intake.Check(c, s.MemoryMB)
	if s.Peer == nil {
		return
	}
	c.Required("peer.name", s.Peer.Name)
	c.Address("peer.address", s.Peer.Address)
	if s.Peer.Name == s.Name {
		c.Add("peer.name", "is the name of this scheduler", "give each scheduler its own name")
	}
}
