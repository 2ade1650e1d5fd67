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
	dial := options.Pool.limitDial(netDialer.DialContext)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if options.Wrap != nil {
			conn = options.Wrap(conn)
		}
		return options.Keys.Handshake(ctx, conn, protocol, options.Peers)
	}
}

// limitDial returns a dial function whose connections count in the pool.
func (p *Pool) limitDial(dial dialFunc) dialFunc {
	if p == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := p.reserve(ctx); err != nil {
			return nil, err
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			p.closed()
			p.pauseAfter(ctx, err)
			return nil, err
		}
		return &pooledConn{Conn: conn, pool: p}, nil
	}
}
