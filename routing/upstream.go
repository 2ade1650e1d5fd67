package routing

import (
	"fmt"
	"time"
)

// SlowStart is the time over which a worker that joins others is brought up to
// its full share.
const SlowStart = 10 * time.Second

// slowStartFloor is the share of a worker at the start of its slow start.
const slowStartFloor = 0.1

// session is the use of one worker session.
type session struct {
	number      uint64
	slots       int
	connections int
	outstanding int
	sent        time.Duration
	expires     time.Duration
	withdrawn   bool
	// refusedAt is the time of the last not_run; the session is used again after
	// a sync that was requested later, so a stale grant costs one request.
	refused   bool
	refusedAt time.Duration
}

func (s *session) open(now time.Duration) bool { return !s.withdrawn && now < s.expires }

// upstream is a worker that serves requests.
type upstream struct {
	name     string
	address  string
	domain   string
	local    bool
	joined   time.Duration
	warming  bool
	current  *session
	former   []*session
	lanes    []*lane
	health   health
	limiter  limiter
	unlisted bool
	// services and generation are those that the lanes were made for.
	services   []string
	generation int
}

// lane is the use of one upstream by one service.
type lane struct {
	up          *upstream
	service     *service
	outstanding int
	// position is the index in the service's list of free lanes, or notListed.
	position int
	latency  average
}

const notListed = -1

// share is the part of its full use that a worker gets, from slow start.
func (u *upstream) share(now time.Duration) float64 {
	if !u.warming {
		return 1
	}
	progress := float64(now-u.joined) / float64(SlowStart)
	if progress >= 1 {
		u.warming = false
		return 1
	}
	return max(slowStartFloor, progress)
}

// limit is the number of requests that may be outstanding now.
func (u *upstream) limit(now time.Duration) int {
	granted := float64(u.current.slots)
	allowed := min(granted*u.share(now), u.limiter.limit(granted))
	return min(u.current.slots, max(1, int(allowed)))
}

func (u *upstream) free(now time.Duration) bool {
	s := u.current
	if u.unlisted || s.refused || !s.open(now) || u.health.ejected(now) {
		return false
	}
	return s.outstanding < u.limit(now)
}

// take counts one more request. Exceeding a grant would overcommit the host.
func (u *upstream) take(l *lane, now time.Duration) Ticket {
	s := u.current
	if s.outstanding >= s.slots || !s.open(now) {
		panic(fmt.Sprintf("routing: grant of worker %s session %d exceeded: %d of %d slots, expires %v, now %v",
			u.name, s.number, s.outstanding, s.slots, s.expires, now))
	}
	s.outstanding++
	l.outstanding++
	l.service.outstanding++
	return Ticket{
		Worker: u.name, Address: u.address, Session: s.number, Connections: s.connections,
		lane: l, session: s, started: now,
	}
}

func (u *upstream) release(t Ticket) {
	if t.session.outstanding <= 0 {
		panic(fmt.Sprintf("routing: ticket of worker %s session %d released twice", u.name, t.Session))
	}
	t.session.outstanding--
	t.lane.outstanding--
	t.lane.service.outstanding--
	u.forgetFormer()
}

// forgetFormer drops former sessions without outstanding requests.
func (u *upstream) forgetFormer() {
	kept := u.former[:0]
	for _, s := range u.former {
		if s.outstanding > 0 {
			kept = append(kept, s)
		}
	}
	u.former = kept
}

// apply puts a newer grant in force.
func (u *upstream) apply(g Grant) {
	if u.current == nil || u.current.number != g.Session {
		u.replaceSession(g.Session)
	}
	s := u.current
	s.slots = g.limit()
	s.connections = g.Connections
	s.sent, s.expires = g.Sent, g.Expires
	s.withdrawn = false
	if s.refused && g.Sent > s.refusedAt {
		s.refused = false
	}
	u.address = g.Address
	u.domain = g.Domain
	u.unlisted = false
}

func (u *upstream) replaceSession(number uint64) {
	if old := u.current; old != nil {
		old.withdrawn = true
		if old.outstanding > 0 {
			u.former = append(u.former, old)
		}
	}
	u.current = u.reopen(number)
}

// reopen returns the session with the number. A session that comes back keeps its
// count of outstanding requests.
func (u *upstream) reopen(number uint64) *session {
	for i, s := range u.former {
		if s.number == number {
			u.former = append(u.former[:i], u.former[i+1:]...)
			return s
		}
	}
	return &session{number: number}
}

func (u *upstream) busy() bool { return u.current.outstanding > 0 || len(u.former) > 0 }
