package transport

import (
	"time"

	"geraniumwall/settings"
)

// IntakeSettings limits what clients may send. 0 selects the default of each limit.
type IntakeSettings struct {
	// MaxHeaderBytes limits the head of a request.
	MaxHeaderBytes int64 `json:"max_header_bytes"`
	// MaxBodyBytes limits the body of a request, beside the limits of the handlers.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// HeaderTimeoutMS limits the time for the head of a request.
	HeaderTimeoutMS int64 `json:"header_timeout_ms"`
	// BodyTimeoutMS limits the time for the body of a request.
	BodyTimeoutMS int64 `json:"body_timeout_ms"`
	// BodyIdleTimeoutMS is the time without a byte after which a body is given up, and the
	// connection of a client that takes nothing of an answer closed.
	BodyIdleTimeoutMS int64 `json:"body_idle_timeout_ms"`
	// MinBodyRate is the least rate of a body in bytes per second, once it has taken longer
	// than BodyIdleTimeoutMS.
	MinBodyRate int64 `json:"min_body_bytes_per_s"`
	// MaxConnections limits the connections of all clients to the ports for clients.
	MaxConnections int64 `json:"max_connections"`
	// MaxConnectionsPerAddress limits the connections of one client address.
	MaxConnectionsPerAddress int64 `json:"max_connections_per_address"`
	// MaxStreams limits the concurrent requests on one HTTP/2 connection of a client.
	MaxStreams int64 `json:"max_streams"`
	// ReceiveBufferBytes is the kernel's receive buffer of a new connection (SO_RCVBUF); 0 for
	// one that follows from the memory of the host and the number of connections.
	ReceiveBufferBytes int64 `json:"receive_buffer_bytes"`
}

// minHeaderBytes is the least limit of a head: what an ordinary request needs.
const minHeaderBytes = 1024

// bodyIdleTimeout returns the time without a byte after which a body or an answer is given up.
func (s *IntakeSettings) bodyIdleTimeout() time.Duration {
	return millisecondsOr(s.BodyIdleTimeoutMS, defaultBodyIdleTimeout)
}

// Check reports the problems of the settings; memoryMB is the setting memory_mb.
func (s *IntakeSettings) Check(c *settings.Checker, memoryMB int64) {
	c.NotNegative("memory_mb", memoryMB)
	c.NotNegative("intake.max_body_bytes", s.MaxBodyBytes)
	c.NotNegative("intake.header_timeout_ms", s.HeaderTimeoutMS)
	c.NotNegative("intake.body_timeout_ms", s.BodyTimeoutMS)
	c.NotNegative("intake.body_idle_timeout_ms", s.BodyIdleTimeoutMS)
	c.NotNegative("intake.min_body_bytes_per_s", s.MinBodyRate)
	c.NotNegative("intake.max_connections", s.MaxConnections)
	c.NotNegative("intake.max_connections_per_address", s.MaxConnectionsPerAddress)
	c.NotNegative("intake.max_streams", s.MaxStreams)
	c.NotNegative("intake.receive_buffer_bytes", s.ReceiveBufferBytes)
	if s.MaxHeaderBytes != 0 && s.MaxHeaderBytes < minHeaderBytes {
		c.Add("intake.max_header_bytes", "is below 1024", "use 0 for the default or at least 1024")
	}
	if s.MaxConnections != 0 && s.MaxConnectionsPerAddress > s.MaxConnections {
		c.Add("intake.max_connections_per_address", "is above intake.max_connections", "use 0 or a lower number")
	}
}
