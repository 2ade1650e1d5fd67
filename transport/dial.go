package transport

import (
	"context"
	"net"
)

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialer returns a function that opens connections and passes them to wrap, if set.
func dialer(wrap func(net.Conn) net.Conn) dialFunc {
	plain := &net.Dialer{Timeout: dialTimeout}
	if wrap == nil {
		return plain.DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := plain.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return wrap(c), nil
	}
}
