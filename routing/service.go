package routing

import "time"

// answerShare of the time left is kept for the answer that sheds a queued request,
// so that it reaches the caller before its deadline.
const answerShare = 20

// queueSlack is the number of entries from which a queue is compacted.
const queueSlack = 32

const (
	// hedgeQuantile of the recent latency is the time after which a second attempt
	// may be made, so that at most about one request in twenty is a candidate.
	hedgeQuantile = 0.95
	hedgeSamples  = 20
	hedgeShortest = time.Millisecond
)

// Waiter is a queued request.
type Waiter struct {
	// Tag is the tag of the request.
	Tag any

	service *service
	request Request
	queued  time.Duration
	// latest is the time after which the request could not end in time.
	latest time.Duration
	done   bool
}

// Latest returns the time after which the request could not end in time, so that
// waiting longer is of no use.
func (w *Waiter) Latest() time.Duration { return w.latest }

// service is one service with its queue and its free upstreams.
type service struct {
	name        string
	maxQueue    int
	outstanding int
	// local and remote list the lanes with room for a request.
	local  []*lane
	remote []*lane
	queue  []*Waiter
	// waiting is the number of entries of queue that are not done.
	waiting int
	latency average
	window  window
	// usual caches the hedgeQuantile of usualOf.
	usual   time.Duration
	usualOf *counts
	// used is the slot time that the service has received, for fairness.
	used      time.Duration
	starvedAt time.Duration
	starved   bool
	removed   bool
}

func (s *service) enqueue(r Request, now time.Duration) *Waiter {
	left := r.Deadline - now
	w := &Waiter{Tag: r.Tag, service: s, request: r, queued: now, latest: r.Deadline - max(s.expected(left), left/answerShare)}
	s.queue = append(s.queue, w)
	s.waiting++
	return w
}

// expected is the run time to plan for; at most half of the time left, so a
// service that has slowed down is still tried.
func (s *service) expected(left time.Duration) time.Duration {
	return min(time.Duration(s.latency.value), left/2)
}

// hedgeAfter is the time after which an attempt takes longer than usual, or 0 if
// too little is known.
func (s *service) hedgeAfter(now time.Duration) time.Duration {
	s.window.rotate(now)
	complete := s.window.complete
	if complete == nil || complete.total < hedgeSamples {
		return 0
	}
	if s.usualOf != complete {
		s.usualOf, s.usual = complete, max(hedgeShortest, complete.quantile(hedgeQuantile))
	}
	return s.usual
}

// wait estimates how long a new entry of the queue waits. With nothing
// outstanding there is no estimate, and the request waits for new grants.
func (s *service) wait() time.Duration {
	if s.outstanding == 0 {
		return 0
	}
	return time.Duration(s.latency.value * float64(s.waiting+1) / float64(s.outstanding))
}

// head returns the oldest waiter without removing it, or nil.
func (s *service) head() *Waiter {
	for len(s.queue) > 0 && s.queue[0].done {
		s.queue[0] = nil
		s.queue = s.queue[1:]
	}
	if len(s.queue) == 0 {
		s.queue = nil
		return nil
	}
	return s.queue[0]
}

func (s *service) finish(w *Waiter) {
	w.done = true
	s.waiting--
	s.compact()
}

// compact drops entries that are done from behind an old head, so that the memory
// of the queue stays in proportion to the waiting requests.
func (s *service) compact() {
	if len(s.queue) <= 2*s.waiting+queueSlack {
		return
	}
	kept := make([]*Waiter, 0, s.waiting)
	for _, w := range s.queue {
		if !w.done {
			kept = append(kept, w)
		}
	}
	s.queue = kept
}

// list puts the lane on the list of free lanes or takes it off.
func (l *lane) list(free bool) {
	if free == (l.position != notListed) {
		return
	}
	set := l.set()
	if free {
		l.position = len(*set)
		*set = append(*set, l)
		return
	}
	last := (*set)[len(*set)-1]
	(*set)[l.position] = last
	last.position = l.position
	(*set)[len(*set)-1] = nil
	*set = (*set)[:len(*set)-1]
	l.position = notListed
}

func (l *lane) set() *[]*lane {
	if l.up.local {
		return &l.service.local
	}
	return &l.service.remote
}
