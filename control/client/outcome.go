package client

import (
	"errors"
	"net"
)

// refusedConnection reports whether the connection was never made, so that
// nothing was sent.
func refusedConnection(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
