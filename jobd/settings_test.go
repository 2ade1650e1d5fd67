package jobd

import (
	"os"
	"regexp"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/settings"
)

// templateFile is the settings template of the operations platform.
const templateFile = "../platform/jobs.json.tmpl"

// Guards against a template with a field that the program does not know or a bound that it
// does not get, which would keep every replica from starting or leave a default in force.
func TestSettingsTemplate(t *testing.T) {
	g := NewWithT(t)
	template, err := os.ReadFile(templateFile)
	g.Expect(err).NotTo(HaveOccurred())
	values := map[string]string{
		"node-id": "n", "zone": "z", "listen.control": "192.0.2.1:80", "ip": "192.0.2.1", "port-range.0": "7000", "port-range.1": "7001",
		"bootstrap": "true", "data-dir": "/data", "heartbeat-ms": "1500", "bounds.hold-max-ms": "10000", "bounds.contact-ms": "3000",
		"bounds.grace-s": "6", "limits.max-fds": "4324", "limits.memory-mb": "408", "bounds.evacuate-ms": "5000", "#bounds.evacuate-ms": "", "/bounds.evacuate-ms": "", "#zones": "", "/zones": "", "@": "z",
		"#bounds.far-factor": "", "bounds.far-factor": "1.6", "/bounds.far-factor": "", "#seeds": "", "/seeds": "", ".": "192.0.2.1:80", "#,": "", ",": "",
	}
	document := regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(string(template), func(field string) string {
		value, known := values[field[2:len(field)-2]]
		g.Expect(known).To(BeTrue(), field)
		return value
	})
	var s Settings
	g.Expect(settings.Parse(templateFile, []byte(document), &s)).To(Succeed())
	g.Expect(s.capacityGrace()).To(Equal(3 * time.Second))
	g.Expect(s.heartbeat()).To(Equal(1500 * time.Millisecond))
	g.Expect(s.lease()).To(Equal(10 * time.Second))
	g.Expect(s.MaxOpenFiles).To(Equal(int64(4324)))
	g.Expect(s.EvacuationApplyMS).To(Equal(int64(5000)))
	g.Expect(s.Domains).To(Equal([]string{"z"}))

	without := regexp.MustCompile(`(?s)\{\{#bounds.evacuate-ms\}\}.*\{\{/bounds.evacuate-ms\}\}`).ReplaceAllString(string(template), "")
	g.Expect(without).NotTo(ContainSubstring("zones"), "a deployment without the bound renders neither setting")
	g.Expect(s.RemoteSlowdown).To(Equal(1.6))
	g.Expect(s.FairShares.options()).NotTo(BeNil())
	g.Expect(s.Admission.enabled()).To(BeFalse())
	g.Expect(s.MemoryMB).To(Equal(int64(408)))
}

// Guards against a slowdown that makes remote places look faster, or times overflow.
func TestSettingsRefuseRemoteSlowdown(t *testing.T) {
	g := NewWithT(t)
	s := Settings{
		Name: "n", DataDir: "/data", Listen: "192.0.2.1:80", PeerListen: "192.0.2.1:7000", Seeds: []string{"192.0.2.1:7000"},
		HeartbeatMS: 1500, LeaseMS: 10_000, ShutdownTimeoutMS: 6000,
	}
	for _, allowed := range []float64{0, 1, 1.5, 100} {
		s.RemoteSlowdown = allowed
		g.Expect(settings.Validate("f", &s)).To(Succeed(), "%g", allowed)
	}
	for _, refused := range []float64{-1, 0.5, 0.999, 100.5, 1e300} {
		s.RemoteSlowdown = refused
		g.Expect(settings.Validate("f", &s)).To(MatchError(ContainSubstring("remote_slowdown")), "%g", refused)
	}
}

// Guards against a negative grace that lets no worker get tasks, and against settings of
// evacuations that name no domain or no time.
func TestSettingsRefuseImpossibleValues(t *testing.T) {
	g := NewWithT(t)
	s := Settings{
		Name: "n", DataDir: "/data", Listen: "192.0.2.1:80", PeerListen: "192.0.2.1:7000", Seeds: []string{"192.0.2.1:7000"},
		HeartbeatMS: 1500, LeaseMS: 10_000, ShutdownTimeoutMS: 6000,
	}
	g.Expect(settings.Validate("f", &s)).To(Succeed(), "0 is the default")
	s.Domains = []string{"a", ""}
	g.Expect(settings.Validate("f", &s)).To(MatchError(ContainSubstring("domains")))
	s.Domains, s.EvacuationApplyMS = nil, -1
	g.Expect(settings.Validate("f", &s)).To(MatchError(ContainSubstring("evacuation_apply_ms")))
	s.EvacuationApplyMS = 0
	s.CapacityGraceMS = -1
	g.Expect(settings.Validate("f", &s)).To(MatchError(ContainSubstring("capacity_grace_ms")))
}

// Guards against addresses of replicas that are made from malformed seeds or ports.
func TestPeerAddressesRefuseMalformedAddresses(t *testing.T) {
	g := NewWithT(t)
	addresses, err := PeerAddresses([]string{"192.0.2.1:80", "[2001:DB8::1]:80"}, "192.0.2.9:7000")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(addresses).To(Equal([]string{"192.0.2.1:7000", "[2001:DB8::1]:7000"}))
	for _, seed := range []string{"", "192.0.2.1", ":80", "192.0.2.1:99999", "192.0.2.1:-1", "192.0.2.1:x", "a b:80", "192.0.2.1\x00:80"} {
		_, err := PeerAddresses([]string{"192.0.2.1:80", seed}, "192.0.2.9:7000")
		g.Expect(err).To(MatchError(ContainSubstring("use the form")), "%q", seed)
	}
	for _, listen := range []string{"", "192.0.2.9", "192.0.2.9:0", "192.0.2.9:-1", "192.0.2.9:99999", "192.0.2.9:x"} {
		_, err := PeerAddresses([]string{"192.0.2.1:80"}, listen)
		g.Expect(err).To(MatchError(And(ContainSubstring("peer_listen"), ContainSubstring("use the form"))), "%q", listen)
	}
}
