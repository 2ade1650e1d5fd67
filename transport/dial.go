package transport

import (
	"context"
	"net"
)

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialer returns a function that opens connections for the options.
func dialer(o ClientOptions, protocol string) dialFunc {
	plain := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := plain.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if o.Wrap != nil {
			c = o.Wrap(c)
		}
		return o.Keys.Handshake(ctx, c, protocol, o.Peers)
	}
}
