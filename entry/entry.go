// Package entry implements the entry process: a stateless proxy that accepts the
// requests of callers and forwards them to the leader of the job replicas.
package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"

	"geraniumwall/daemon"
	"geraniumwall/jobd"
	"geraniumwall/relay"
	"geraniumwall/settings"
	"geraniumwall/transport"
)

const (
	// maxLeaderWait limits how long a request waits for a leader, counted from the last
	// response of a leader. An election usually takes less. minLeaderWait leaves enough
	// time to find out whether there is a leader again.
	maxLeaderWait = 1200 * time.Millisecond
	minLeaderWait = 150 * time.Millisecond
	// responseReserve is the part of the caller's deadline that is kept for sending the
	// response.
	responseReserve = 100 * time.Millisecond
	// defaultDeadline applies to callers that set no deadline.
	defaultDeadline = 3 * time.Second
	refreshInterval = 500 * time.Millisecond
	// leaderContactTimeout is how long the process stays ready without contact to a
	// leader. Once it is not ready, the load balancer sends callers to domains that
	// reach one.
	leaderContactTimeout = 2 * time.Second
	// drainDelay gives the load balancer time to notice that the process is not ready.
	drainDelay = 2500 * time.Millisecond
	// exitReservePart is the part of the time for a shutdown that is left after the drain,
	// as a fraction 1/exitReservePart.
	exitReservePart = 12
	// maxBodyBytes limits the body of a request. The leader enforces the configured
	// limit.
	maxBodyBytes      = 4 << 20
	retryAfterSeconds = "1"
	// Guaranteed shares of the connections of the process.
	callerShare  = 0.5
	replicaShare = 0.1
	checkShare   = 0.1
	// Shares of the memory of the host for requests in progress.
	callerMemoryShare = 0.3
	checkMemoryShare  = 0.02
	meterName         = "geraniumwall/entry"
)

// Settings are the settings of an entry process.
type Settings struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Listen is the address for callers.
	Listen string `json:"listen"`
	// ReadyListen is the address for the readiness checks of the load balancer.
	ReadyListen string `json:"ready_listen"`
	// PeerListen supplies the port at which the replicas serve their internal API. The
	// entry process does not listen at this address.
	PeerListen string `json:"peer_listen"`
	// MetricsListen is the address for metrics; empty to serve none.
	MetricsListen string `json:"metrics_listen"`
	// Seeds are as in the settings of a job replica.
	Seeds []string `json:"seeds"`
	// MaxOpenFiles is as in the settings of a job replica.
	MaxOpenFiles int64 `json:"max_open_files"`
	// MemoryMB is the memory of the host in MB, from which the room for requests is derived; 0
	// for what the process sees, 1024 at most.
	MemoryMB int64 `json:"memory_mb"`
	// Intake limits what clients may send.
	Intake transport.IntakeSettings `json:"intake"`
	// ShutdownTimeoutMS limits the duration of a graceful shutdown, in milliseconds.
	ShutdownTimeoutMS int64 `json:"stop_within_ms"`
}

// Check implements settings.Checked.
func (s *Settings) Check(c *settings.Checker) {
	c.Required("name", s.Name)
	c.Address("listen", s.Listen)
	c.Address("ready_listen", s.ReadyListen)
	c.Address("peer_listen", s.PeerListen)
	c.Addresses("seeds", s.Seeds)
	c.Positive("stop_within_ms", s.ShutdownTimeoutMS)
	c.NotNegative("max_open_files", s.MaxOpenFiles)
	s.Intake.Check(c, s.MemoryMB)
	if s.MetricsListen != "" {
		c.Address("metrics_listen", s.MetricsListen)
	}
}

// Deadline returns how long the caller of a request waits for the response, or fallback
// if the request does not say.
type Deadline func(r *http.Request, fallback time.Duration) time.Duration

type process struct {
	log      zerolog.Logger
	intake   *transport.Intake
	relay    *relay.Relay
	deadline Deadline
	stopping atomic.Bool
	ready    atomic.Bool
	metrics  *Metrics
}

// Run serves callers until ctx is done and then drains. reload delivers changed
// settings.
func Run(ctx context.Context, s *Settings, reload <-chan *Settings, deadline Deadline, log zerolog.Logger) error {
	in := transport.NewIntake(s.Intake, s.MemoryMB, log)
	if _, err := daemon.ServeMetrics(in.On(ctx, transport.MetricsPort), s.MetricsListen); err != nil {
		return err
	}
	if err := in.Observe(otel.Meter(meterName)); err != nil {
		return err
	}
	m, err := NewMetrics(otel.Meter(meterName))
	if err != nil {
		return err
	}
	seeds, err := jobd.PeerAddresses(s.Seeds, s.PeerListen)
	if err != nil {
		return err
	}
	budget := transport.NewCount(s.MaxOpenFiles, log)
	if err := budget.Observe(otel.Meter(meterName)); err != nil {
		return err
	}
	p := &process{log: log, intake: in, relay: relay.New(seeds, budget.Pool("replicas", replicaShare)), deadline: deadline, metrics: m}
	callerCtx := in.On(transport.WithPool(ctx, budget.Pool("callers", callerShare)),
		transport.PortOptions{Purpose: "callers", Share: callerMemoryShare, Clients: true})
	callers, err := daemon.Listen(callerCtx, s.Listen, http.HandlerFunc(p.serve))
	if err != nil {
		return err
	}
	checkCtx := in.On(transport.WithPool(ctx, budget.Pool("checks", checkShare)),
		transport.PortOptions{Purpose: "checks", Share: checkMemoryShare, Clients: true})
	checks, err := daemon.Listen(checkCtx, s.ReadyListen, http.HandlerFunc(p.serveReady))
	if err != nil {
		return err
	}
	callers.Serve()
	checks.Serve()
	log.Info().Str("address", callers.Address()).Strs("seeds", seeds).Msg("entry process started")
	refreshCtx, stopRefresh := context.WithCancel(context.Background())
	defer stopRefresh()
	go p.refreshLoop(refreshCtx, s.PeerListen, reload)
	select {
	case <-ctx.Done():
	case err := <-callers.Failed():
		return fmt.Errorf("serve callers: %w", err)
	case err := <-checks.Failed():
		return fmt.Errorf("serve readiness checks: %w", err)
	}
	p.drain(callers, time.Duration(s.ShutdownTimeoutMS)*time.Millisecond)
	return nil
}

// drain reports not ready, waits until the load balancer has noticed, and then until
// every request that was read whole has been answered.
func (p *process) drain(callers *daemon.Server, timeout time.Duration) {
	p.log.Info().Dur("within", timeout).Msg("entry process is stopping")
	p.stopping.Store(true)
	p.ready.Store(false)
	report := callers.Drain(daemon.DrainOptions{Notice: drainDelay, Within: timeout - timeout/exitReservePart})
	report.Record(p.log)
}

// refreshLoop refreshes the relay and the readiness periodically and applies changed
// settings.
func (p *process) refreshLoop(ctx context.Context, peerListen string, reload <-chan *Settings) {
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	for {
		p.relay.Refresh(ctx)
		// The leader enforces the configured size of a body. This process may know an older
		// limit for up to refreshInterval, and would refuse what a new configuration allows.
		limits := p.relay.Limits()
		limits.MaxBodyBytes = 0
		p.intake.SetLimits(limits)
		p.updateReady()
		select {
		case <-ctx.Done():
			return
		case s := <-reload:
			seeds, err := jobd.PeerAddresses(s.Seeds, peerListen)
			if err != nil {
				p.log.Error().Err(err).Msg("invalid settings ignored on reload")
				continue
			}
			p.relay.SetSeeds(seeds)
			p.log.Info().Strs("seeds", seeds).Msg("settings reloaded")
		case <-t.C:
		}
	}
}

func (p *process) updateReady() {
	sinceContact := time.Since(p.relay.LastContact())
	ready := sinceContact < leaderContactTimeout && !p.stopping.Load()
	if p.ready.Swap(ready) == ready {
		return
	}
	if ready {
		p.log.Info().Msg("leader reachable; ready")
	} else {
		p.log.Warn().Dur("silent", sinceContact).Msg("no leader reachable; not ready")
	}
}

func (p *process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !p.ready.Load() {
		http.Error(w, "no leader is reached, or the process stops", http.StatusServiceUnavailable)
	}
}

// serve forwards a request of a caller to the leader.
func (p *process) serve(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "the request cannot be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	timeout := min(p.leaderWait(), p.deadline(r, defaultDeadline)-responseReserve)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), timeout)
	defer cancel()
	q := relay.Request{Method: r.Method, Path: jobd.PathCallers + r.URL.RequestURI(), Host: r.Host, Header: http.Header{}, Body: body}
	if contentType := r.Header.Get("Content-Type"); contentType != "" {
		q.Header.Set("Content-Type", contentType)
	}
	response, err := p.relay.Send(ctx, q)
	status := p.writeResponse(w, r.Method, response, err)
	p.metrics.recordRequest(r.Method, status, time.Since(start))
	if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests || r.Method != http.MethodGet {
		p.log.Info().Str("method", r.Method).Str("path", r.URL.Path).Int("status", status).
			Dur("took", time.Since(start)).Dur("leader_age", start.Sub(p.relay.LastContact())).Err(err).Msg("request answered")
	}
}

// leaderWait returns how long a request waits for a leader. The longer no leader has
// responded, the sooner requests fail.
func (p *process) leaderWait() time.Duration {
	return max(minLeaderWait, maxLeaderWait-max(0, time.Since(p.relay.LastContact())-refreshInterval))
}

// writeResponse sends the leader's response, or else the error, to the caller and
// returns the status.
func (p *process) writeResponse(w http.ResponseWriter, method string, response *relay.Response, err error) int {
	if err != nil {
		return p.writeError(w, method, err)
	}
	response.Write(w)
	return response.Status
}

// writeError responds to a request for which there is no response of a leader.
func (p *process) writeError(w http.ResponseWriter, method string, err error) int {
	status := http.StatusGatewayTimeout
	if !errors.Is(err, relay.ErrUnresolved) || method == http.MethodGet {
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	http.Error(w, err.Error(), status)
	return status
}
