package client

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// refusedConnection reports whether the connection was never made, so that
// nothing was sent.
func refusedConnection(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// attemptTrace follows the connection of one attempt. net/http reports a dial that
// outlasts the context as a mere timeout, like one after the request was sent.
type attemptTrace struct{ wanted, got atomic.Bool }

func trace(ctx context.Context) (context.Context, *attemptTrace) {
	t := &attemptTrace{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { t.wanted.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { t.got.Store(true) },
		// Either also counts as sent, whatever a protocol reports of its connections.
		WroteHeaders: func() { t.got.Store(true) },
		WroteRequest: func(httptrace.WroteRequestInfo) { t.got.Store(true) },
	}), t
}

// neverSent reports whether the attempt waited for a connection and got none. It is
// false for a transport that does not report its connections.
func (t *attemptTrace) neverSent() bool { return t.wanted.Load() && !t.got.Load() }
