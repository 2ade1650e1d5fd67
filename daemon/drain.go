package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"
)

const (
	// drainQuietTime is the time without a new request after which a drain closes the
	// connections that have none.
	drainQuietTime = 400 * time.Millisecond
	// drainLastCall is the time before the end of a drain from which on new requests are
	// refused, limited to the fraction 1/drainLastCallPart of the drain.
	drainLastCall     = 1500 * time.Millisecond
	drainLastCallPart = 3
	drainPollInterval = 5 * time.Millisecond
	// drainRetryAfter is in seconds.
	drainRetryAfter = "1"
	// maxCutOffLogged limits the log lines of one drain.
	maxCutOffLogged = 100
)

// DrainOptions are how a server drains.
type DrainOptions struct {
	// Notice is how long the server still accepts connections, so that load balancers
	// notice that the process is not ready.
	Notice time.Duration
	// Within limits the drain, including Notice. Requests that are then in progress are
	// cut off. 0 means no limit.
	Within time.Duration
	// Refusal responds to requests that begin too late to be served. It must say that
	// nothing was done. nil means a 503 response.
	Refusal http.Handler
}

// DrainReport is the outcome of a drain.
type DrainReport struct {
	// Answered and Refused count the requests that ended in the drain.
	Answered int
	Refused  int
	// CutOff are the requests that were in progress at the end.
	CutOff   []RequestInProgress
	Duration time.Duration
}

// refuseStopping responds to requests that are not run because the process stops.
var refuseStopping = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", drainRetryAfter)
	w.Header().Set("Geranium-Outcome", "not_run")
	http.Error(w, "the process is stopping; nothing was done, send the request again", http.StatusServiceUnavailable)
})

// Drain stops the server so that each request that has been read whole is answered. Each
// response closes its connection. A connection without a request is closed once no
// request has begun for a while. A nil *Server has nothing to drain.
func (s *Server) Drain(o DrainOptions) DrainReport {
	if s == nil {
		return DrainReport{}
	}
	d := &drain{server: s, refusal: o.Refusal, start: time.Now()}
	if d.refusal == nil {
		d.refusal = refuseStopping
	}
	if o.Within > 0 {
		d.end = d.start.Add(o.Within)
		d.lastCall = d.end.Add(-min(drainLastCall, o.Within/drainLastCallPart))
		o.Notice = min(o.Notice, o.Within/2)
	}
	return d.run(o.Notice)
}

type drain struct {
	server  *Server
	refusal http.Handler
	start   time.Time
	// end is when requests are cut off and lastCall when new ones begin to be refused;
	// zero for never.
	end      time.Time
	lastCall time.Time
}

func (d *drain) run(notice time.Duration) DrainReport {
	s := d.server
	s.draining.Store(true)
	s.requests.beginDrain()
	time.Sleep(notice)
	_ = s.bound.stop()
	d.endHTTP1()
	d.endHTTP2()
	report := DrainReport{Duration: time.Since(d.start)}
	report.Answered, report.Refused, report.CutOff = s.requests.counts()
	_ = s.http.Close()
	return report
}

// endHTTP1 waits until no HTTP/1 connection is left.
func (d *drain) endHTTP1() {
	s := d.server
	quietSince, ending := d.start, false
	for now := time.Now(); !expired(d.end, now); now = time.Now() {
		accepting := s.accepting()
		open, reading := s.conns.http1(now)
		if len(open) == 0 && !accepting {
			return
		}
		if reading {
			quietSince = now
		}
		quietSince = latest(quietSince, s.requests.lastBegin())
		late := expired(d.lastCall, now)
		if late {
			s.requests.refuse(d.refusal)
		}
		if ending = ending || late || now.Sub(quietSince) >= drainQuietTime; ending {
			for _, c := range open {
				c.end(now)
			}
		}
		time.Sleep(drainPollInterval)
	}
}

// endHTTP2 tells HTTP/2 clients to use another connection and waits until they have, and
// until no handler runs for a client that has left.
// http.Server.Shutdown drops HTTP/1 requests, so no such connection may be left.
func (d *drain) endHTTP2() {
	s := d.server
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.http.Shutdown(ctx) }()
	for now := time.Now(); !expired(d.end, now) && s.conns.number()+s.requests.inProgress() > 0; now = time.Now() {
		if expired(d.lastCall, now) {
			s.requests.refuse(d.refusal)
		}
		time.Sleep(drainPollInterval)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func expired(t, now time.Time) bool { return !t.IsZero() && !now.Before(t) }

// DrainAll drains servers at the same time and returns the sum of their reports.
func DrainAll(o DrainOptions, servers ...*Server) DrainReport {
	reports := make([]DrainReport, len(servers))
	var draining sync.WaitGroup
	for i, s := range servers {
		draining.Go(func() { reports[i] = s.Drain(o) })
	}
	draining.Wait()
	var sum DrainReport
	for _, r := range reports {
		sum.Answered += r.Answered
		sum.Refused += r.Refused
		sum.CutOff = append(sum.CutOff, r.CutOff...)
		sum.Duration = max(sum.Duration, r.Duration)
	}
	return sum
}

// Record logs the report, with a line for each request that was cut off, and counts it in
// the metrics.
func (r DrainReport) Record(log zerolog.Logger) {
	if m, err := NewDrainMetrics(otel.Meter(meterName)); err != nil {
		log.Warn().Err(err).Msg("the drain is not counted")
	} else {
		m.record(r)
	}
	for _, q := range r.CutOff[:min(len(r.CutOff), maxCutOffLogged)] {
		log.Warn().Str("method", q.Method).Str("path", q.Path).Str("remote", q.Remote).
			Dur("running", time.Since(q.Start)).Msg("request cut off at the end of the drain")
	}
	log.Info().Int("answered", r.Answered).Int("refused", r.Refused).Int("cut_off", len(r.CutOff)).
		Dur("took", r.Duration).Msg("drain ended")
}
