package routing

import "time"

// shedResponseDivisor is the fraction (one in so many) of the time left that is
// reserved for the response that sheds a queued request, so that the response
// reaches the caller before its deadline.
const shedResponseDivisor = 20

// compactionSlack is the number of decided entries that a queue may hold beyond the
// number of waiting ones before it is compacted.
const compactionSlack = 32

const (
	// hedgeQuantile is the quantile of the recent latency after which a second attempt
	// may be made. At most about one request in twenty takes longer.
	hedgeQuantile   = 0.95
	minHedgeSamples = 20
	minHedgeDelay   = time.Millisecond
)

// Waiter is a queued request.
type Waiter struct {
	// Tag is the tag of the request.
	Tag any

	service  *service
	request  Request
	queuedAt time.Duration
	// latestStart is the time from which the request is no longer expected to complete
	// before its deadline.
	latestStart time.Duration
	// decided is set when the request was admitted, shed or cancelled.
	decided bool
}

// Latest returns the time from which the request is no longer expected to complete
// before its deadline, so that there is no point in waiting longer.
func (w *Waiter) Latest() time.Duration { return w.latestStart }

// service holds the queue, the free endpoints and the latency of one service.
type service struct {
	name        string
	maxQueue    int
	outstanding int
	// localFree and remoteFree list the endpoints with a free slot in the local domain
	// and in remote ones.
	localFree  []*endpoint
	remoteFree []*endpoint
	queue      []*Waiter
	// waiting is the number of entries of queue that are not decided.
	waiting       int
	latency       movingAverage
	recentLatency latencyWindow
	// hedgeDelay caches the hedgeQuantile of hedgeDelayFrom.
	hedgeDelay     time.Duration
	hedgeDelayFrom *histogram
	// slotTime is the total time that requests of the service held a slot; dispatch
	// compares it between services.
	slotTime  time.Duration
	starvedAt time.Duration
	starved   bool
	removed   bool
}

func (s *service) enqueue(r Request, now time.Duration) *Waiter {
	timeLeft := r.Deadline - now
	w := &Waiter{Tag: r.Tag, service: s, request: r, queuedAt: now, latestStart: r.Deadline - max(s.expectedRunTime(timeLeft), timeLeft/shedResponseDivisor)}
	s.queue = append(s.queue, w)
	s.waiting++
	return w
}

// expectedRunTime returns the average latency of the service, but at most half of
// the time left, so that requests are still sent to a service that became slow.
func (s *service) expectedRunTime(timeLeft time.Duration) time.Duration {
	return min(time.Duration(s.latency.value), timeLeft/2)
}

// hedgeAfter returns the delay after which an attempt may be hedged, or 0 if there
// are too few samples.
func (s *service) hedgeAfter(now time.Duration) time.Duration {
	s.recentLatency.rotate(now)
	previous := s.recentLatency.previous
	if previous == nil || previous.total < minHedgeSamples {
		return 0
	}
	if s.hedgeDelayFrom != previous {
		s.hedgeDelayFrom, s.hedgeDelay = previous, max(minHedgeDelay, previous.quantile(hedgeQuantile))
	}
	return s.hedgeDelay
}

// estimatedWait estimates how long a new entry of the queue waits. It returns 0 if
// no requests are outstanding, since the wait for new grants can't be estimated.
func (s *service) estimatedWait() time.Duration {
	if s.outstanding == 0 {
		return 0
	}
	return time.Duration(s.latency.value * float64(s.waiting+1) / float64(s.outstanding))
}

// head returns the oldest waiter without removing it, or nil.
func (s *service) head() *Waiter {
	for len(s.queue) > 0 && s.queue[0].decided {
		s.queue[0] = nil
		s.queue = s.queue[1:]
	}
	if len(s.queue) == 0 {
		s.queue = nil
		return nil
	}
	return s.queue[0]
}

// removeWaiter marks a queued request as decided.
func (s *service) removeWaiter(w *Waiter) {
	w.decided = true
	s.waiting--
	s.compact()
}

// compact removes decided entries behind the head, so that the memory of the queue
// stays proportional to the number of waiting requests.
func (s *service) compact() {
	if len(s.queue) <= 2*s.waiting+compactionSlack {
		return
	}
	remaining := make([]*Waiter, 0, s.waiting)
	for _, w := range s.queue {
		if !w.decided {
			remaining = append(remaining, w)
		}
	}
	s.queue = remaining
}

// setFree adds the endpoint to the list of free endpoints or removes it.
func (e *endpoint) setFree(free bool) {
	if free == (e.freeIndex != notFree) {
		return
	}
	list := e.freeList()
	if free {
		e.freeIndex = len(*list)
		*list = append(*list, e)
		return
	}
	last := (*list)[len(*list)-1]
	(*list)[e.freeIndex] = last
	last.freeIndex = e.freeIndex
	(*list)[len(*list)-1] = nil
	*list = (*list)[:len(*list)-1]
	e.freeIndex = notFree
}

// freeList returns the list of free endpoints that the endpoint belongs to.
func (e *endpoint) freeList() *[]*endpoint {
	if e.upstream.local {
		return &e.service.localFree
	}
	return &e.service.remoteFree
}
