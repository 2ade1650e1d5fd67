package transport

import (
	"container/list"
	"context"
	"errors"
	"math"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

const (
	// connectionsPerFile is the part of the open files that may be connections. The rest, and
	// reservedFiles at least, is for the log, for replication and for connections that are just
	// being closed. minConnectionsPerFile applies under a very low limit.
	connectionsPerFile    = 0.85
	reservedFiles         = 64
	minConnectionsPerFile = 0.5
	// minGuaranteed lets all replicas connect to each other under a very low limit.
	minGuaranteed = 16
	// reserveTimeout is how long a call that may open a connection waits until an idle one
	// is closed. It is shorter than every call, which then learns that nothing was sent.
	reserveTimeout = 50 * time.Millisecond
	reserveRetry   = 5 * time.Millisecond
	// shortageLogInterval is the least time between two log lines about a shortage.
	shortageLogInterval = time.Second
	openFilesDir        = "/proc/self/fd"
)

// Budget limits the connections of a process, so that it never runs out of file
// descriptors. Pools share it: each pool has a guaranteed number of connections and may
// borrow what the guarantees of the others leave. It is safe for concurrent use.
type Budget struct {
	maxFiles int
	total    int
	log      zerolog.Logger

	mu    sync.Mutex
	pools []*Pool
	// nextLogAt is when the next shortage is logged, unlogged how many were not.
	nextLogAt time.Time
	unlogged  int
}

// NewBudget returns the budget of a process that may open as many files as its resource
// limit and configured allow. 0 stands for no configured limit.
func NewBudget(configured int64, log zerolog.Logger) *Budget {
	maxFiles := math.MaxInt32
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < math.MaxInt32 {
		maxFiles = int(limit.Cur)
	}
	if configured > 0 {
		maxFiles = int(min(int64(maxFiles), configured))
	}
	return &Budget{maxFiles: maxFiles, total: maxConnections(maxFiles), log: log}
}

// NewCount returns a budget without a limit, which only counts the connections.
func NewCount(configured int64, log zerolog.Logger) *Budget {
	b := NewBudget(configured, log)
	b.total = math.MaxInt32
	return b
}

func maxConnections(maxFiles int) int {
	most := min(int(float64(maxFiles)*connectionsPerFile), maxFiles-reservedFiles)
	return max(most, int(float64(maxFiles)*minConnectionsPerFile))
}

// Pool adds a pool to which the given share of all connections is guaranteed, and
// minGuaranteed at least.
func (b *Budget) Pool(name string, share float64) *Pool {
	p := &Pool{budget: b, name: name, guaranteed: max(int(float64(b.total)*share), minGuaranteed), freed: make(chan struct{}, 1)}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pools = append(b.pools, p)
	return p
}

// Pool counts the connections of one purpose. A nil *Pool has no limit.
type Pool struct {
	budget     *Budget
	name       string
	guaranteed int
	// freed receives a value when a connection of any pool was closed.
	freed chan struct{}

	// The fields below are guarded by budget.mu.

	open int
	// calls are the calls that hold a slot, of which longPolls wait at their server.
	calls, longPolls int
	// waiting are the *slotRequest that wait for a slot, first those that are not long
	// polls.
	waiting [2]list.List
	// closeIdle closes connections without a call until enough returns true; nil if the pool
	// only counts outgoing connections.
	closeIdle func(enough func() bool)
}

// needed returns the connections that the pool can't do without: idle ones are given up to
// others if it can close them.
func (p *Pool) needed() int {
	if p.closeIdle != nil {
		return p.calls
	}
	return p.open
}

// limit returns how many connections the pool may have at present.
func (p *Pool) limit() int {
	free := p.budget.total
	for _, other := range p.budget.pools {
		if other != p {
			free -= max(other.needed(), other.guaranteed)
		}
	}
	return max(free, p.guaranteed, 1)
}

// mayOpen reports whether one more connection may be opened. budget.mu is held.
func (p *Pool) mayOpen() bool {
	return p.open < p.limit() && (p.open < p.guaranteed || p.budget.open() < p.budget.total)
}

// open returns the number of all connections. mu is held.
func (b *Budget) open() int {
	open := 0
	for _, p := range b.pools {
		open += p.open
	}
	return open
}

func (p *Pool) hasRoom() bool {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	return p.mayOpen()
}

// reclaim closes idle connections of the pools that have more than their guaranteed number,
// this one included, until this one has room. It returns false if it still has none.
func (p *Pool) reclaim() bool {
	for _, closeIdle := range p.budget.borrowers(p) {
		closeIdle(p.hasRoom)
	}
	return p.hasRoom()
}

// borrowers returns the functions that close idle connections of p and of the pools that
// have more than their guaranteed number.
func (b *Budget) borrowers(p *Pool) []func(enough func() bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []func(func() bool)
	for _, other := range b.pools {
		if other.closeIdle != nil && (other == p || other.open > other.guaranteed) {
			list = append(list, other.closeIdle)
		}
	}
	return list
}

// OnFull makes the pool limit outgoing connections. It registers a function that closes
// idle ones until enough returns true. Other pools only count theirs.
func (p *Pool) OnFull(closeIdle func(enough func() bool)) {
	if p == nil {
		return
	}
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	p.closeIdle = closeIdle
}

// HasRoom reports whether one more connection may be opened.
func (p *Pool) HasRoom() bool { return p == nil || p.hasRoom() }

// reserve counts a connection that is about to be opened. If the pool is full it closes
// idle ones first. Its error is a *NoConnectionError.
func (p *Pool) reserve(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	for !p.tryReserve() {
		p.reclaim()
		select {
		case <-bounded.Done():
			p.reportShortage("no idle connection can be closed")
			return p.noConnection(bounded.Err())
		case <-time.After(reserveRetry):
		}
	}
	return nil
}

func (p *Pool) tryReserve() bool {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	if p.closeIdle != nil && !p.mayOpen() {
		return false
	}
	p.open++
	return true
}

func (p *Pool) noConnection(cause error) error {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	return &NoConnectionError{p.name, p.limit(), cause}
}

func (p *Pool) opened() {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	p.open++
}

func (p *Pool) closed() {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	p.open--
	p.budget.wake()
}

// wake lets those go on that wait for a connection and may have it now.
func (b *Budget) wake() {
	for _, p := range b.pools {
		p.grant()
		select {
		case p.freed <- struct{}{}:
		default:
		}
	}
}

// pooledConn is a reserved connection that counts until it is closed.
type pooledConn struct {
	net.Conn
	pool *Pool
	once sync.Once
}

// Close implements net.Conn.
func (c *pooledConn) Close() error {
	c.once.Do(c.pool.closed)
	return c.Conn.Close()
}

// IsShortage reports whether a call failed since no connection could be opened for it for
// lack of descriptors, so that nothing of it was sent.
func IsShortage(err error) bool {
	var none *NoConnectionError
	return isFileShortage(err) || errors.As(err, &none)
}

func isFileShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// pauseAfter delays the next attempt to open a connection after an error that says that too
// many files are open.
func (p *Pool) pauseAfter(ctx context.Context, err error) {
	if !isFileShortage(err) {
		return
	}
	p.reportFailure(err)
	select {
	case <-ctx.Done():
	case <-time.After(reserveTimeout):
	}
}

// reportFailure logs an error that says that too many files are open.
func (p *Pool) reportFailure(err error) {
	if isFileShortage(err) {
		p.reportShortage(err.Error())
	}
}

// reportShortage logs that the pool could not open a connection, with all counts.
func (p *Pool) reportShortage(reason string) {
	b := p.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := time.Now(); now.Before(b.nextLogAt) {
		b.unlogged++
		return
	}
	b.nextLogAt = time.Now().Add(shortageLogInterval)
	counts := zerolog.Dict()
	for _, pool := range b.pools {
		counts = counts.Int(pool.name, pool.open)
	}
	b.log.Warn().Str("pool", p.name).Str("reason", reason).Dict("connections", counts).Int("pool_limit", p.limit()).
		Int("limit", b.total).Int("max_files", b.maxFiles).Int("unlogged", b.unlogged).Msg("connections are short")
	b.unlogged = 0
}

// openFiles returns the number of open files of this process, -1 if it is not known.
func openFiles() int64 {
	entries, err := os.ReadDir(openFilesDir)
	if err != nil {
		return -1
	}
	return int64(len(entries)) - 1
}
