package gossip

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"os"

	"github.com/rs/zerolog"

	"geraniumwall/membership"
	"geraniumwall/settings"
)

// minKeyBytes is the minimum length of a key: the output size of SHA-256.
const minKeyBytes = 32

// JoinSettings is the "membership" object of a daemon's settings.
type JoinSettings struct {
	// Listen is the UDP address of the protocol. It must contain an IP address of the
	// host, because other processes send to it.
	Listen string `json:"listen"`
	// Seeds are the protocol addresses of a few other processes, used to join.
	Seeds []string `json:"seeds"`
	// KeyFile is a file with a secret of at least 32 bytes that all processes share. If
	// it is set, datagrams from processes without the key are dropped.
	KeyFile string `json:"key_file,omitempty"`
}

// Check reports all problems of the settings. s is nil if the object is omitted, which
// is valid.
func (s *JoinSettings) Check(c *settings.Checker) {
	if s == nil {
		return
	}
	checkReachable(c, "membership.listen", s.Listen)
	c.Addresses("membership.seeds", s.Seeds)
}

// checkReachable reports an address that other processes cannot send to.
func checkReachable(c *settings.Checker, field, value string) {
	c.Address(field, value)
	if address, err := netip.ParseAddrPort(value); err == nil && (address.Addr().IsUnspecified() || address.Port() == 0) {
		c.Add(field, fmt.Sprintf("%q cannot be reached by other processes", value), "name an IP address of this host and a port")
	}
}

// Join starts the protocol with the given settings. If s is nil, it returns a nil
// Gossip, which has no members. self.Address is the address of the process's server.
func Join(ctx context.Context, s *JoinSettings, self membership.Member, log zerolog.Logger) (*Gossip, error) {
	if s == nil {
		return nil, nil //nolint:nilnil // a nil Gossip is documented to have no members
	}
	key, err := readKey(s.KeyFile)
	if err != nil {
		return nil, err
	}
	self.GossipAddress = s.Listen
	return Start(ctx, Options{Self: self, Seeds: s.Seeds, Key: key}, log)
}

func readKey(file string) ([]byte, error) {
	if file == "" {
		return nil, nil
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("membership.key_file: %w; write a secret of at least %d bytes to it", err, minKeyBytes)
	}
	key := bytes.TrimSpace(content)
	if len(key) < minKeyBytes {
		return nil, fmt.Errorf("membership.key_file: %s holds %d bytes; write at least %d random bytes, the same for every process",
			file, len(key), minKeyBytes)
	}
	return key, nil
}
