package transport

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

const (
	// connectionShare is the part of the memory that connections without data may use.
	connectionShare = 0.35
	// connectionCharge is what net/http and the runtime hold for an HTTP/1.1 connection, and
	// http2ConnectionCharge what they hold for one of HTTP/2 with its receive buffer.
	connectionCharge      = 16 << 10
	http2ConnectionCharge = 96 << 10
	// connectionsPerLimit is the part of the descriptors that accepted connections may use.
	connectionsPerLimit = 0.9
	// guaranteedConnections is the part of the connections that each port keeps, as a
	// fraction 1/guaranteedConnections.
	guaranteedConnections = 16
	// programMemory is what a process holds without clients: its code and its own data. Shares
	// are parts of the rest of the memory, but of half of it at least.
	programMemory = 16 << 20
	// heapShare is the part of that rest from which on the runtime collects garbage without
	// waiting for the heap to double.
	heapShare = 0.7
	// smallCharge is what a request may hold to use the reserved part of a budget too.
	smallCharge = 32 << 10
	// reservedPart is the part of a budget that is kept for such requests, as a fraction
	// 1/reservedPart.
	reservedPart = 4
	// minRoom lets a few requests with the largest bodies through on any host.
	minRoom = 4 << 20
	// roomTimeout is how long a body waits for room. Bodies inside the limits take a few
	// milliseconds.
	roomTimeout = time.Second
	// searchInterval is the least time between two searches for stalled bodies.
	searchInterval = 10 * time.Millisecond
	// stallTime is the time without a byte after which a body is aborted when room is short.
	stallTime = time.Second
	// sweepInterval is the interval of the search for requests that are late.
	sweepInterval = 250 * time.Millisecond
	// intakeLogInterval is the least time between two log lines about refusals.
	intakeLogInterval = time.Second
	// maxLoggedAddresses bounds the addresses in a log line.
	maxLoggedAddresses = 3

	// defaultMemory is the memory from which limits are derived if the settings name none. It
	// holds 400 of the largest requests of callers at a time.
	defaultMemory = 1 << 30

	defaultMaxHeaderBytes  = 32 << 10
	defaultBodyTimeout     = 2 * time.Minute
	defaultBodyIdleTimeout = 30 * time.Second
	defaultMaxStreams      = 250

	// Receive buffers of HTTP/2 on ports for clients.
	clientHTTP2Buffer    = 64<<10 - 1
	clientHTTP2FrameSize = 16 << 10
)

// reason is why a request or connection was refused or given up.
type reason int

const (
	reasonNone reason = iota
	reasonHead
	reasonHeadLate
	reasonLarge
	reasonLate
	reasonSlow
	reasonStalled
	reasonRoom
	reasonConnections
	reasonAddress
	reasons
)

var reasonNames = [reasons]string{
	"", "head too large", "head late", "body too large", "body late", "body slow", "body stalled", "no room", "too many connections",
	"too many connections of the address",
}

// status returns the status of the answer to a refused request.
func (r reason) status() int {
	switch r {
	case reasonHead:
		return http.StatusRequestHeaderFieldsTooLarge
	case reasonLarge:
		return http.StatusRequestEntityTooLarge
	case reasonHeadLate, reasonLate, reasonSlow, reasonStalled:
		return http.StatusRequestTimeout
	case reasonAddress:
		return http.StatusTooManyRequests
	case reasonNone, reasonRoom, reasonConnections, reasons:
	}
	return http.StatusServiceUnavailable
}

// refusal is the error of a read of a body that is given up.
type refusal struct{ reason reason }

// Error returns the text for the client.
func (r *refusal) Error() string {
	return reasonNames[r.reason] + "; nothing was done, send the request again within the limits"
}

// Limits are limits of a configuration; 0 for none. They apply where they are stricter than
// the settings.
type Limits struct {
	MaxHeaderBytes  int64 `json:"max_header_bytes,omitempty"`
	MaxBodyBytes    int64 `json:"max_body_bytes,omitempty"`
	HeaderTimeoutMS int64 `json:"header_timeout_ms,omitempty"`
	IdleTimeoutMS   int64 `json:"idle_timeout_ms,omitempty"`
}

// Valid reports whether no limit is negative or so low that no ordinary request passes.
func (l *Limits) Valid() bool {
	return (l.MaxHeaderBytes == 0 || l.MaxHeaderBytes >= minHeaderBytes) && l.MaxBodyBytes >= 0 && l.HeaderTimeoutMS >= 0 &&
		l.IdleTimeoutMS >= 0
}

// Intake bounds what the clients of a process make it hold. It is safe for concurrent use.
type Intake struct {
	settings IntakeSettings
	// memory is what clients may use, in bytes.
	memory int64
	log    zerolog.Logger
	// maxConnections and connectionRoom limit the connections of all ports.
	maxConnections, connectionRoom int64
	// receiveBuffer is SO_RCVBUF of new connections in bytes.
	receiveBuffer int
	// turns are those of large bodies, pipelined those of pipelined requests.
	turns, pipelined turns
	limits           atomic.Pointer[Limits]
	refused          [reasons]atomic.Int64

	mu              sync.Mutex
	ports           []*Port
	open            int64
	connectionBytes int64
	// byAddress counts connections; nil without a limit of its own for one address.
	byAddress map[netip.Addr]int64
	nextLogAt time.Time
	unlogged  int
}

// NewIntake returns the intake of a process on a host with the given memory; 0 for what the
// process sees, defaultMemory at most.
func NewIntake(s IntakeSettings, memoryMB int64, log zerolog.Logger) *Intake {
	memory := memoryMB << 20
	if memoryMB == 0 {
		memory = min(visibleMemory(), defaultMemory)
	}
	processors := runtime.GOMAXPROCS(0)
	in := &Intake{
		settings: s, memory: max(memory-programMemory, memory/2), log: log,
		turns: turns{free: processors}, pipelined: turns{free: pipelinedPerProcessor * processors},
	}
	if memoryMB != 0 {
		debug.SetMemoryLimit(int64(float64(in.memory) * heapShare))
	}
	in.connectionRoom = int64(float64(in.memory) * connectionShare)
	in.maxConnections = cmp.Or(s.MaxConnections, min(in.connectionRoom/connectionCharge, maxAccepted()))
	in.receiveBuffer = cmp.Or(int(s.ReceiveBufferBytes), receiveBufferFor(in.memory, in.maxConnections))
	if s.MaxConnectionsPerAddress != 0 {
		in.byAddress = map[netip.Addr]int64{}
	}
	in.limits.Store(&Limits{})
	return in
}

// SetLimits puts the limits of a configuration in force.
func (in *Intake) SetLimits(l Limits) { in.limits.Store(&l) }

// maxAccepted returns how many connections the resource limit of the process permits.
func maxAccepted() int64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int64(float64(limit.Cur) * connectionsPerLimit)
}

// visibleMemory returns the memory of the host in bytes, 1 GB if it is not known.
func visibleMemory() int64 {
	file, err := os.Open("/proc/meminfo")
	if err != nil {
		return 1 << 30
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if rest, found := strings.CutPrefix(lines.Text(), "MemTotal:"); found {
			if kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64); err == nil {
				return kb << 10
			}
		}
	}
	return 1 << 30
}

// PortOptions are how a port treats its clients.
type PortOptions struct {
	// Purpose names the port in metrics and logs.
	Purpose string
	// Share is the part of the memory that requests on the port may hold.
	Share float64
	// Clients is set for a port that callers, workers or operators reach.
	Clients bool
	// RelayedPrefix is the prefix of the paths of requests that are relayed for clients. They
	// may hold half of the port's share, and have no part in the other half.
	RelayedPrefix string
}

// MetricsPort are the options of the port of the metrics.
var MetricsPort = PortOptions{Purpose: "metrics", Share: smallShare}

// smallShare is the share of a port that serves small requests of the operator only.
const smallShare = 0.02

// Port is the intake of a listener.
type Port struct {
	PortOptions
	intake *Intake
	// main is the room for requests, relayed that for requests that are relayed.
	main, relayed *room
	// largeBuffers is the room for large receive buffers.
	largeBuffers *room
	// open counts the connections; guarded by intake.mu.
	open int64
	// fullAt is when a connection was last refused for the number of all, as a duration since
	// processStart; 0 for never.
	fullAt atomic.Int64

	mu sync.Mutex
	// bodies are the requests whose body is being read.
	bodies map[*account]struct{}
	// sweeping is set while a goroutine looks for late bodies.
	sweeping bool
	// searchedAt is when stalled bodies were looked for, as a duration since processStart.
	searchedAt time.Duration
}

// Port adds a port.
func (in *Intake) Port(o PortOptions) *Port {
	bytes := max(int64(float64(in.memory)*o.Share), minRoom)
	p := &Port{PortOptions: o, intake: in, main: &room{limit: bytes}, largeBuffers: &room{limit: bytes / largeBufferPart}, bodies: map[*account]struct{}{}}
	if o.RelayedPrefix != "" {
		p.main.limit /= 2
		p.relayed = &room{limit: p.main.limit}
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.ports = append(in.ports, p)
	return p
}

// On returns a context for a listener with a new port.
func (in *Intake) On(ctx context.Context, o PortOptions) context.Context {
	return context.WithValue(ctx, portKey{}, in.Port(o))
}

// portKey is the context key of the *Port of a listener.
type portKey struct{}

// PortOf returns the port of the context. Without one it returns a port of its own with the
// default limits.
func PortOf(ctx context.Context) *Port {
	if p, ok := ctx.Value(portKey{}).(*Port); ok {
		return p
	}
	return NewIntake(IntakeSettings{}, 0, zerolog.Nop()).Port(PortOptions{Purpose: "other", Share: defaultShare})
}

// defaultShare is the share of a port that has no intake of its process.
const defaultShare = 0.25

// Configure sets the limits of the server of the port.
func (p *Port) Configure(server *http.Server) {
	s := &p.intake.settings
	server.MaxHeaderBytes = int(cmp.Or(s.MaxHeaderBytes, defaultMaxHeaderBytes))
	if s.HeaderTimeoutMS != 0 {
		server.ReadHeaderTimeout = time.Duration(s.HeaderTimeoutMS)*time.Millisecond + 2*timeoutGrace
	}
	if p.Clients {
		server.HTTP2 = &http.HTTP2Config{
			MaxConcurrentStreams: int(cmp.Or(s.MaxStreams, defaultMaxStreams)), MaxReadFrameSize: clientHTTP2FrameSize,
			MaxReceiveBufferPerConnection: clientHTTP2Buffer, MaxReceiveBufferPerStream: clientHTTP2Buffer,
		}
	}
	server.Handler = p.rotateConnections(p.limitBodies(server.Handler))
}

func stricter(a, b int64) int64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

func (p *Port) maxHead() int64 {
	l := p.intake.limits.Load()
	return stricter(cmp.Or(p.intake.settings.MaxHeaderBytes, defaultMaxHeaderBytes), l.MaxHeaderBytes)
}

func (p *Port) maxBody() int64 {
	return stricter(p.intake.settings.MaxBodyBytes, p.intake.limits.Load().MaxBodyBytes)
}

// timeoutGrace is added to time limits, so that a client that just keeps one is served.
const timeoutGrace = time.Second

// HeaderTimeout returns the time after which a head is given up, 0 for the limit of the server.
func (p *Port) HeaderTimeout() time.Duration {
	return withGrace(stricter(p.intake.settings.HeaderTimeoutMS, p.intake.limits.Load().HeaderTimeoutMS))
}

// IdleTimeout returns the time after which an idle connection is closed, 0 for never.
func (p *Port) IdleTimeout() time.Duration { return withGrace(p.intake.limits.Load().IdleTimeoutMS) }

// AnswerTimeout returns the time after which a connection is closed whose client takes nothing
// of an answer.
func (p *Port) AnswerTimeout() time.Duration { return p.intake.settings.bodyIdleTimeout() }

func withGrace(ms int64) time.Duration {
	if ms <= 0 {
		return 0
	}
	return time.Duration(ms)*time.Millisecond + timeoutGrace
}

// refuse counts a refusal and logs it, at most once a second, with the addresses that hold
// most.
func (p *Port) refuse(why reason, address string) {
	in := p.intake
	in.refused[why].Add(1)
	in.mu.Lock()
	now := time.Now()
	if now.Before(in.nextLogAt) {
		in.unlogged++
		in.mu.Unlock()
		return
	}
	in.nextLogAt = now.Add(intakeLogInterval)
	unlogged, open := in.unlogged, in.open
	in.unlogged = 0
	in.mu.Unlock()
	in.log.Warn().Str("purpose", p.Purpose).Str("reason", reasonNames[why]).Str("address", address).
		Int64("room_used", p.main.used.Load()).Int64("room", p.main.limit).Int64("connections", open).
		Int64("max_connections", in.maxConnections).Strs("most", p.largest()).Int("unlogged", unlogged).Msg("request refused")
}

// largest returns the addresses whose bodies in progress hold most.
func (p *Port) largest() []string {
	held := map[string]int64{}
	p.mu.Lock()
	for a := range p.bodies {
		host, _, _ := strings.Cut(a.address, "]:")
		if !strings.HasPrefix(host, "[") {
			host, _, _ = strings.Cut(a.address, ":")
		}
		held[host] += a.held.Load()
	}
	p.mu.Unlock()
	type holder struct {
		address string
		bytes   int64
	}
	var list []holder
	for address, bytes := range held {
		list = append(list, holder{address, bytes})
	}
	slices.SortFunc(list, func(a, b holder) int { return cmp.Or(cmp.Compare(b.bytes, a.bytes), cmp.Compare(a.address, b.address)) })
	var texts []string
	for _, h := range list[:min(len(list), maxLoggedAddresses)] {
		texts = append(texts, fmt.Sprintf("%s: %d bytes", h.address, h.bytes))
	}
	return texts
}
