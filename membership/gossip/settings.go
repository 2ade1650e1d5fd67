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

// minKeyBytes is the shortest key that is accepted, the output size of SHA-256.
const minKeyBytes = 32

// JoinSettings are the object "membership" of a daemon's settings.
type JoinSettings struct {
	// Listen is the UDP address of the protocol, which the other processes use too,
	// so that it must name an IP address of the host.
	Listen string `json:"listen"`
	// Seeds are protocol addresses of a few other processes.
	Seeds []string `json:"seeds"`
	// KeyFile holds a secret of at least 32 bytes that all processes share. With
	// it, datagrams of processes that do not have the key are dropped.
	KeyFile string `json:"key_file,omitempty"`
}

// Check reports every problem of the object, which is nil where it is left out.
func (s *JoinSettings) Check(c *settings.Checker) {
	if s == nil {
		return
	}
	checkReachable(c, "membership.listen", s.Listen)
	c.Addresses("membership.seeds", s.Seeds)
}

// checkReachable refuses an address that other processes cannot send to.
func checkReachable(c *settings.Checker, field, value string) {
	c.Address(field, value)
	if address, err := netip.ParseAddrPort(value); err == nil && (address.Addr().IsUnspecified() || address.Port() == 0) {
		c.Add(field, fmt.Sprintf("%q cannot be reached by other processes", value), "name an IP address of this host and a port")
	}
}

// Join takes part in the protocol as the settings say. Without settings it
// returns nil, which has no members. service is the address of the process's
// server.
func Join(ctx context.Context, s *JoinSettings, self membership.Member, log zerolog.Logger) (*Gossip, error) {
	if s == nil {
		return nil, nil //nolint:nilnil // a nil Gossip is documented to have no members
	}
	key, err := readKey(s.KeyFile)
	if err != nil {
		return nil, err
	}
	self.GossipAddress = s.Listen
	return Start(ctx, Settings{Self: self, Seeds: s.Seeds, Key: key}, log)
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
