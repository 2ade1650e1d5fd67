package settings_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"geraniumwall/settings"
)

type listed struct {
	Seeds []string `json:"seeds"`
}

func (l *listed) Check(c *settings.Checker) { c.Addresses("seeds", l.Seeds) }

// Guards against addresses of other processes that can't be reached and replace good ones.
func TestUnreachableAddressesAreRefused(t *testing.T) {
	g := NewWithT(t)
	for _, address := range []string{
		"", "192.0.2.1", "192.0.2.1:", ":7000", "192.0.2.1:-1", "192.0.2.1:65536", "192.0.2.1:99999", "192.0.2.1:9223372036854775808",
		"192.0.2.1:http", "192.0.2.1: 7000", "192.0.2.1:7000\x00", "192.0.2.1:7000\n", "192.0.2:7000", "host.example:7000", "[::1:7000",
		"192.0.2.1:0", "0.0.0.0:7000", "[::]:7000",
	} {
		err := settings.Validate("file", &listed{Seeds: []string{"192.0.2.1:7000", address}})
		g.Expect(err).To(MatchError(And(ContainSubstring("seeds[1]"), ContainSubstring("use "))), "%q", address)
	}
	g.Expect(settings.Validate("file", &listed{Seeds: []string{"192.0.2.1:1", "192.0.2.1:65535", "[2001:db8::1]:7000"}})).To(Succeed())
	g.Expect(settings.Validate("file", &listed{})).To(MatchError(ContainSubstring("is empty")))
}
