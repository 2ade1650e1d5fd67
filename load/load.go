// Package load sends an open-loop load: requests start at times that are drawn in
// advance and do not wait for answers. Latency counts from the intended start, so
// a slow system cannot hide its delays by slowing the sender down.
package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Limits of one run.
const (
	MaxRate     = 200_000
	MaxDuration = time.Hour
	MaxRequests = 50_000_000
)

// maxRecorders bounds the histograms in memory; senders share them.
const maxRecorders = 16

// Kind is one kind of request in the mix.
type Kind struct {
	Name string `json:"name"`
	// Weight is the share of the kind relative to the sum of all weights.
	Weight int `json:"weight"`
	// Service is called, or Job is submitted as a task.
	Service string `json:"service,omitempty"`
	Job     string `json:"job,omitempty"`
	// Body is sent as it is.
	Body string `json:"body,omitempty"`
	// Keyed requests carry a fresh idempotency key.
	Keyed      bool  `json:"keyed,omitempty"`
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
}

// Options describes a run.
type Options struct {
	Kinds []Kind
	// Rate is the mean number of requests per second; gaps are exponential.
	Rate     float64
	Duration time.Duration
	// MaxInFlight bounds the requests without an answer. Arrivals beyond it start
	// late, and their latency still counts from the intended start.
	MaxInFlight int
	Seed        uint64
}

func (o Options) check() error {
	switch {
	case len(o.Kinds) == 0:
		return errors.New("load: no kind of request; add at least one")
	case o.Rate <= 0 || o.Rate > MaxRate:
		return fmt.Errorf("load: rate %g is out of range; use up to %d requests per second", o.Rate, MaxRate)
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return fmt.Errorf("load: duration %v is out of range; use up to %v", o.Duration, MaxDuration)
	case o.Rate*o.Duration.Seconds() > MaxRequests:
		return fmt.Errorf("load: the run would send more than %d requests; lower the rate or the duration", MaxRequests)
	case o.MaxInFlight <= 0:
		return errors.New("load: MaxInFlight must be above zero")
	}
	for _, k := range o.Kinds {
		if k.Weight <= 0 || (k.Service == "") == (k.Job == "") {
			return fmt.Errorf("load: kind %q needs a weight above zero and either a service or a job", k.Name)
		}
	}
	return nil
}

// Request is one request of a run.
type Request struct {
	Sequence uint64
	Kind     Kind
}

// Result is the end of one request.
type Result struct {
	// Outcome is the typed outcome, or "error" without an answer.
	Outcome string
	// Status is the HTTP status, 0 without an answer.
	Status int
}

// OutcomeError counts requests without a complete answer.
const OutcomeError = "error"

// Sender sends one request and waits for its answer.
type Sender interface {
	Send(ctx context.Context, r Request) Result
}

// arrival is a request with its intended start.
type arrival struct {
	request Request
	at      time.Duration
}

// Run sends the load and returns the measurements. It ends early when ctx is over.
func Run(ctx context.Context, o Options, s Sender) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	start := time.Now()
	due := make(chan arrival, o.MaxInFlight)
	recorders := make([]*recorder, min(o.MaxInFlight, maxRecorders))
	for i := range recorders {
		recorders[i] = newRecorder()
	}
	var senders sync.WaitGroup
	for i := range o.MaxInFlight {
		record := recorders[i%len(recorders)]
		senders.Go(func() {
			for a := range due {
				result := s.Send(ctx, a.request)
				record.add(a.request.Kind.Name, result.Outcome, time.Since(start)-a.at)
			}
		})
	}
	pace(ctx, o, start, due)
	close(due)
	senders.Wait()
	return newReport(o, time.Since(start), recorders), nil
}

// pace delivers each arrival when its intended start has come.
func pace(ctx context.Context, o Options, start time.Time, due chan<- arrival) {
	random := rand.New(rand.NewPCG(o.Seed, 1)) //nolint:gosec // a load needs no secrecy
	total := 0
	for _, k := range o.Kinds {
		total += k.Weight
	}
	at := time.Duration(0)
	for sequence := uint64(0); ; sequence++ {
		at += time.Duration(random.ExpFloat64() / o.Rate * float64(time.Second))
		if at >= o.Duration || ctx.Err() != nil {
			return
		}
		for early := at - time.Since(start); early > 0; early = at - time.Since(start) {
			sleep(early)
		}
		due <- arrival{request: Request{Sequence: sequence, Kind: drawKind(o.Kinds, random.IntN(total))}, at: at}
	}
}

func drawKind(kinds []Kind, n int) Kind {
	for _, k := range kinds {
		if n < k.Weight {
			return k
		}
		n -= k.Weight
	}
	return kinds[len(kinds)-1]
}
