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
		"bounds.grace-s": "6", "limits.max-fds": "4324", "limits.memory-mb": "408", "#seeds": "", "/seeds": "", ".": "192.0.2.1:80", "#,": "", ",": "",
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
	g.Expect(s.MemoryMB).To(Equal(int64(408)))
}

// Guards against a negative grace that lets no worker get tasks.
func TestSettingsRefuseNegativeCapacityGrace(t *testing.T) {
	g := NewWithT(t)
	s := Settings{
		Name: "n", DataDir: "/data", Listen: "192.0.2.1:80", PeerListen: "192.0.2.1:7000", Seeds: []string{"192.0.2.1:7000"},
		HeartbeatMS: 1500, LeaseMS: 10_000, ShutdownTimeoutMS: 6000,
	}
	g.Expect(settings.Validate("f", &s)).To(Succeed(), "0 is the default")
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
