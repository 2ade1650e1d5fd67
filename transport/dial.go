package transport

import (
	"context"
	"net"
)

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialer returns a dial function that applies options.Wrap to each new connection and
// then performs the TLS handshake, with protocol for ALPN, if options.Keys is set.
func dialer(options ClientOptions, protocol string) dialFunc {
	netDialer := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := netDialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if options.Wrap != nil {
			conn = options.Wrap(conn)
		}
		return options.Keys.Handshake(ctx, conn, protocol, options.Peers)
	}
}
