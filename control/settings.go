package control

import (
	"fmt"

	"geraniumwall/daemon"
	"geraniumwall/membership/gossip"
	"geraniumwall/raft"
	"geraniumwall/settings"
	"geraniumwall/transport"
)

// ReplicaAddress names a replica.
type ReplicaAddress struct {
	ID uint64 `json:"id"`
	// Address is the IP address and port of its server.
	Address string `json:"address"`
	// Domain is its failure domain.
	Domain string `json:"domain"`
}

// Settings are the settings of one control replica.
type Settings struct {
	// Name identifies the process in logs and metrics.
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Listen is the address of the server for gateways, schedulers and replicas.
	Listen string `json:"listen"`
	// MetricsListen is the address of the metrics; empty for none.
	MetricsListen string `json:"metrics_listen"`
	// OTLPEndpoint is the URL of an OTLP metrics endpoint; empty for none.
	OTLPEndpoint string `json:"otlp_endpoint"`
	DataDir      string `json:"data_dir"`
	// ReplicaID is never reused after the loss of a disk. A replica that is not
	// in Replicas starts empty and waits until it is added.
	ReplicaID uint64 `json:"replica_id"`
	// Replicas are the first replicas in the settings of each of these. A replica that is
	// added later has those here that it asks at its first start.
	Replicas []ReplicaAddress `json:"replicas"`
	// SingleDomainOK permits a layout that the loss of one domain stops.
	SingleDomainOK bool `json:"single_domain_ok"`
	// TLS secures all traffic of the process; nil for none.
	TLS *transport.Settings `json:"tls,omitempty"`
	// Membership may be omitted; the other processes then need this replica in
	// their settings.
	Membership *gossip.JoinSettings `json:"membership,omitempty"`
	// MemoryMB is the memory of the host in MB, from which the room for requests is derived; 0
	// for what the process sees, 1024 at most.
	MemoryMB int64 `json:"memory_mb,omitempty"`
	// Intake limits what clients may send.
	Intake transport.IntakeSettings `json:"intake,omitzero"`
	// StateMayBeLost permits a single replica. Nothing else remembers its log, so it
	// starts empty after the loss of its disk instead of refusing to start.
	StateMayBeLost bool `json:"state_may_be_lost"`
}

// Check reports every problem of the settings.
func (s *Settings) Check(c *settings.Checker) {
	c.Required("name", s.Name)
	c.Required("domain", s.Domain)
	c.Required("data_dir", s.DataDir)
	c.Address("listen", s.Listen)
	if s.MetricsListen != "" {
		c.Address("metrics_listen", s.MetricsListen)
	}
	daemon.CheckOTLP(c, s.OTLPEndpoint)
	s.TLS.Check(c, "tls")
	s.Membership.Check(c)
	s.Intake.Check(c, s.MemoryMB)
	if s.ReplicaID == 0 {
		c.Add("replica_id", "is 0", "give each replica its own positive id")
	}
	if len(s.Replicas) == 0 {
		c.Add("replicas", "is empty", "list every replica with id, address and domain")
	}
	s.checkReplicas(c)
	s.checkLayout(c)
}

func (s *Settings) checkReplicas(c *settings.Checker) {
	ids := map[uint64]bool{}
	addresses := map[string]bool{}
	for i, r := range s.Replicas {
		field := fmt.Sprintf("replicas[%d]", i)
		c.Address(field+".address", r.Address)
		c.Required(field+".domain", r.Domain)
		if r.ID == 0 || ids[r.ID] {
			c.Add(field+".id", fmt.Sprintf("%d is 0 or listed twice", r.ID), "give each replica its own positive id")
		}
		if addresses[r.Address] {
			c.Add(field+".address", fmt.Sprintf("%q is listed twice", r.Address), "give each replica its own address")
		}
		ids[r.ID], addresses[r.Address] = true, true
	}
}

// checkLayout refuses first replicas of which the loss of one domain would leave no
// majority. Those that a later replica asks may be any.
func (s *Settings) checkLayout(c *settings.Checker) {
	if !s.initial() {
		return
	}
	if len(s.Replicas) == 1 && !s.StateMayBeLost {
		c.Add("replicas", "lists a single replica, which can't notice the loss of its disk and would start empty",
			"list 3 or 5 replicas, or set state_may_be_lost for a test system")
	}
	if s.SingleDomainOK {
		return
	}
	if domain, stops := stoppingDomain(s.Replicas); stops {
		c.Add("replicas", fmt.Sprintf("the loss of domain %q would stop the log", domain),
			"spread 3 or 5 replicas over at least three domains so that no domain holds half of them, "+
				"or set single_domain_ok for a test system")
	}
}

// stoppingDomain returns a domain whose loss leaves less than a majority.
func stoppingDomain(replicas []ReplicaAddress) (string, bool) {
	count := map[string]int{}
	for _, r := range replicas {
		count[r.Domain]++
	}
	for _, r := range replicas {
		if len(replicas)-count[r.Domain] < len(replicas)/2+1 {
			return r.Domain, true
		}
	}
	return "", false
}

// initial reports whether the replica is one of the first ones.
func (s *Settings) initial() bool {
	for _, r := range s.Replicas {
		if r.ID == s.ReplicaID {
			return true
		}
	}
	return false
}

func (s *Settings) members() []raft.Member {
	members := make([]raft.Member, 0, len(s.Replicas))
	for _, r := range s.Replicas {
		members = append(members, raft.Member{ID: r.ID, Address: r.Address, Domain: r.Domain})
	}
	return members
}
