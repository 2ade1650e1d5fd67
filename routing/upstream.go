package routing

import (
	"fmt"
	"time"
)

// SlowStartDuration is the time over which the share of load of an upstream that
// joins others is raised to its full share.
const SlowStartDuration = 10 * time.Second

// minSlowStartShare is the smallest share of load during slow start.
const minSlowStartShare = 0.1

// session holds the grant and the outstanding requests of one worker session.
type session struct {
	id          uint64
	slots       int
	connections int
	outstanding int
	requestedAt time.Duration
	expires     time.Duration
	withdrawn   bool
	// refused is set by a not_run response at refusedAt. The session is not used again
	// until a grant requested later arrives, so that a stale grant costs only one
	// request.
	refused   bool
	refusedAt time.Duration
}

// usable reports whether the session has a valid grant.
func (s *session) usable(now time.Duration) bool { return !s.withdrawn && now < s.expires }

// upstream is a worker that serves requests.
type upstream struct {
	name           string
	address        string
	domain         string
	local          bool
	slowStartBegan time.Duration
	inSlowStart    bool
	current        *session
	// draining holds former sessions with outstanding requests.
	draining  []*session
	endpoints []*endpoint
	outliers  outlierDetector
	limiter   limiter
	// withoutGrant is set while the upstream is not in the current set of grants.
	withoutGrant bool
	// services and configGeneration are the values for which endpoints was built.
	services         []string
	configGeneration int
}

// endpoint is the state of one upstream for one service.
type endpoint struct {
	upstream    *upstream
	service     *service
	outstanding int
	// freeIndex is the index in the service's list of free endpoints, or notFree.
	freeIndex int
	latency   movingAverage
}

// notFree is the freeIndex of an endpoint that is not in a list of free endpoints.
const notFree = -1

// slowStartShare returns the share of its full load that an upstream gets; it is 1
// after slow start.
func (u *upstream) slowStartShare(now time.Duration) float64 {
	if !u.inSlowStart {
		return 1
	}
	progress := float64(now-u.slowStartBegan) / float64(SlowStartDuration)
	if progress >= 1 {
		u.inSlowStart = false
		return 1
	}
	return max(minSlowStartShare, progress)
}

// limit returns the number of requests that may be outstanding at time now.
func (u *upstream) limit(now time.Duration) int {
	granted := float64(u.current.slots)
	allowed := min(granted*u.slowStartShare(now), u.limiter.limit(granted))
	return min(u.current.slots, max(1, int(allowed)))
}

// hasFreeSlot reports whether a request may be sent to the upstream now.
func (u *upstream) hasFreeSlot(now time.Duration) bool {
	s := u.current
	if u.withoutGrant || s.refused || !s.usable(now) || u.outliers.ejected(now) {
		return false
	}
	return s.outstanding < u.limit(now)
}

// take counts one more outstanding request. It panics if the grant is exceeded,
// which would overcommit the host.
func (u *upstream) take(e *endpoint, now time.Duration) Ticket {
	s := u.current
	if s.outstanding >= s.slots || !s.usable(now) {
		panic(fmt.Sprintf("routing: grant of worker %s session %d exceeded: %d of %d slots, expires %v, now %v",
			u.name, s.id, s.outstanding, s.slots, s.expires, now))
	}
	s.outstanding++
	e.outstanding++
	e.service.outstanding++
	return Ticket{
		Worker: u.name, Address: u.address, Session: s.id, Connections: s.connections,
		endpoint: e, session: s, started: now,
	}
}

func (u *upstream) release(t Ticket) {
	if t.session.outstanding <= 0 {
		panic(fmt.Sprintf("routing: ticket of worker %s session %d released twice", u.name, t.Session))
	}
	t.session.outstanding--
	t.endpoint.outstanding--
	t.endpoint.service.outstanding--
	u.dropIdleSessions()
}

// dropIdleSessions removes draining sessions without outstanding requests.
func (u *upstream) dropIdleSessions() {
	remaining := u.draining[:0]
	for _, s := range u.draining {
		if s.outstanding > 0 {
			remaining = append(remaining, s)
		}
	}
	u.draining = remaining
}

// apply replaces the grant of the upstream.
func (u *upstream) apply(g Grant) {
	if u.current == nil || u.current.id != g.Session {
		u.replaceSession(g.Session)
	}
	s := u.current
	s.slots = g.limit()
	s.connections = g.Connections
	s.requestedAt, s.expires = g.Sent, g.Expires
	s.withdrawn = false
	if s.refused && g.Sent > s.refusedAt {
		s.refused = false
	}
	u.address = g.Address
	u.domain = g.Domain
	u.withoutGrant = false
}

// replaceSession makes the session with the ID current. The old session drains.
func (u *upstream) replaceSession(id uint64) {
	if old := u.current; old != nil {
		old.withdrawn = true
		if old.outstanding > 0 {
			u.draining = append(u.draining, old)
		}
	}
	u.current = u.sessionWithID(id)
}

// sessionWithID returns the draining session with the ID, which keeps its count of
// outstanding requests, or a new session.
func (u *upstream) sessionWithID(id uint64) *session {
	for i, s := range u.draining {
		if s.id == id {
			u.draining = append(u.draining[:i], u.draining[i+1:]...)
			return s
		}
	}
	return &session{id: id}
}

// hasOutstanding reports whether requests are outstanding on any session.
func (u *upstream) hasOutstanding() bool { return u.current.outstanding > 0 || len(u.draining) > 0 }
