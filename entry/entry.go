// Package entry is the process library of an entry process: it takes in the
// requests of callers and carries them to the leader of the job replicas. It holds
// no state of its own.
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
)

const (
	// holdWithin bounds how long a request waits for a leader, counted from the last
	// answer of one. A change of the leader usually takes less. holdLeast is for
	// finding out whether there is a leader again.
	holdWithin = 1200 * time.Millisecond
	holdLeast  = 150 * time.Millisecond
	// answerReserve is left of the caller's time for the way of the answer.
	answerReserve = 100 * time.Millisecond
	// defaultDeadline holds for callers who name none.
	defaultDeadline = 3 * time.Second
	refreshInterval = 500 * time.Millisecond
	// contactTimeout is how long the entry process stays ready without a leader: a
	// balancer then sends callers to domains that reach one.
	contactTimeout = 2 * time.Second
	// drainTime is for the balancer to notice that the process is not ready.
	drainTime = 2500 * time.Millisecond
	// maxBody bounds a request, in bytes; the leader knows the configured bound.
	maxBody    = 4 << 20
	retryAfter = "1"
	meterName  = "geraniumwall/entry"
)

// Settings are the settings of an entry process.
type Settings struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Listen serves callers.
	Listen string `json:"listen"`
	// ReadyListen serves the balancer's checks.
	ReadyListen string `json:"ready_listen"`
	// PeerListen is the address of the host whose port the replicas use among the
	// system's own processes. Nothing listens there.
	PeerListen    string `json:"peer_listen"`
	MetricsListen string `json:"metrics_listen"`
	// Seeds are as in the settings of a job replica.
	Seeds []string `json:"seeds"`
	// StopWithinMS bounds a planned stop in milliseconds.
	StopWithinMS int64 `json:"stop_within_ms"`
}

// Check implements settings.Checked.
func (s *Settings) Check(c *settings.Checker) {
	c.Required("name", s.Name)
	c.Address("listen", s.Listen)
	c.Address("ready_listen", s.ReadyListen)
	c.Address("peer_listen", s.PeerListen)
	c.Addresses("seeds", s.Seeds)
	c.Positive("stop_within_ms", s.StopWithinMS)
	if s.MetricsListen != "" {
		c.Address("metrics_listen", s.MetricsListen)
	}
}

// Deadline tells how long the caller of a request waits, or def.
type Deadline func(r *http.Request, def time.Duration) time.Duration

type process struct {
	log      zerolog.Logger
	relay    *relay.Relay
	deadline Deadline
	stopping atomic.Bool
	ready    atomic.Bool
	metrics  *Metrics
}

// Run serves callers until ctx is over and then drains. reload delivers changed
// settings.
func Run(ctx context.Context, s *Settings, reload <-chan *Settings, deadline Deadline, log zerolog.Logger) error {
	if _, err := daemon.ServeMetrics(ctx, s.MetricsListen); err != nil {
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
	p := &process{log: log, relay: relay.New(seeds), deadline: deadline, metrics: m}
	callers, err := daemon.Listen(ctx, s.Listen, http.HandlerFunc(p.serve))
	if err != nil {
		return err
	}
	checks, err := daemon.Listen(ctx, s.ReadyListen, http.HandlerFunc(p.serveReady))
	if err != nil {
		return err
	}
	callers.Serve()
	checks.Serve()
	log.Info().Str("address", callers.Address()).Strs("seeds", seeds).Msg("entry process started")
	background, stop := context.WithCancel(context.Background())
	defer stop()
	go p.follow(background, s.PeerListen, reload)
	select {
	case <-ctx.Done():
	case err := <-callers.Failed():
		return fmt.Errorf("serve callers: %w", err)
	case err := <-checks.Failed():
		return fmt.Errorf("serve checks: %w", err)
	}
	return p.drain(callers, time.Duration(s.StopWithinMS)*time.Millisecond)
}

// drain reports not ready until the balancer has noticed, and then ends the
// requests in progress.
func (p *process) drain(callers *daemon.Server, within time.Duration) error {
	p.log.Info().Dur("within", within).Msg("entry process stops")
	p.stopping.Store(true)
	p.ready.Store(false)
	bounded, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	time.Sleep(min(drainTime, within/2))
	if err := callers.Shutdown(bounded); err != nil {
		return fmt.Errorf("wait for requests in progress: %w", err)
	}
	return nil
}

// follow keeps the relay and the readiness current.
func (p *process) follow(ctx context.Context, peerListen string, reload <-chan *Settings) {
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	for {
		p.relay.Refresh(ctx)
		p.updateReady()
		select {
		case <-ctx.Done():
			return
		case s := <-reload:
			seeds, err := jobd.PeerAddresses(s.Seeds, peerListen)
			if err != nil {
				p.log.Error().Err(err).Msg("changed settings are ignored")
				continue
			}
			p.relay.SetSeeds(seeds)
			p.log.Info().Strs("seeds", seeds).Msg("settings reloaded")
		case <-t.C:
		}
	}
}

func (p *process) updateReady() {
	silent := time.Since(p.relay.Contact())
	ready := silent < contactTimeout && !p.stopping.Load()
	if p.ready.Swap(ready) == ready {
		return
	}
	if ready {
		p.log.Info().Msg("leader is reached; ready")
	} else {
		p.log.Warn().Dur("silent", silent).Msg("no leader is reached; not ready")
	}
}

func (p *process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !p.ready.Load() {
		http.Error(w, "no leader is reached, or the process stops", http.StatusServiceUnavailable)
	}
}

// serve carries a caller's request to the leader.
func (p *process) serve(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	if p.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "the request cannot be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	within := min(p.patience(), p.deadline(r, defaultDeadline)-answerReserve)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), within)
	defer cancel()
	q := relay.Request{Method: r.Method, Path: jobd.PathCallers + r.URL.RequestURI(), Host: r.Host, Header: http.Header{}, Body: body}
	if kind := r.Header.Get("Content-Type"); kind != "" {
		q.Header.Set("Content-Type", kind)
	}
	answer, err := p.relay.Send(ctx, q)
	status := p.answer(w, r.Method, answer, err)
	p.metrics.served(r.Method, status, time.Since(began))
	if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests || r.Method != http.MethodGet {
		p.log.Info().Str("method", r.Method).Str("path", r.URL.Path).Int("status", status).
			Dur("took", time.Since(began)).Dur("leader_age", began.Sub(p.relay.Contact())).Err(err).Msg("request answered")
	}
}

// patience is how long a request waits for a leader: once none has answered for
// long, it is refused at once.
func (p *process) patience() time.Duration {
	return max(holdLeast, holdWithin-max(0, time.Since(p.relay.Contact())-refreshInterval))
}

// answer passes the leader's answer on and returns its status.
func (p *process) answer(w http.ResponseWriter, method string, answer *relay.Answer, err error) int {
	if err != nil {
		return p.refuse(w, method, err)
	}
	answer.Write(w)
	return answer.Status
}

// refuse answers a request that no leader has answered.
func (p *process) refuse(w http.ResponseWriter, method string, err error) int {
	status := http.StatusGatewayTimeout
	if !errors.Is(err, relay.ErrUnresolved) || method == http.MethodGet {
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", retryAfter)
	}
	http.Error(w, err.Error(), status)
	return status
}
