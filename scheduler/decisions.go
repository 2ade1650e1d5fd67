package scheduler

import (
	"strings"
	"time"

	"geraniumwall/policy"
)

// Decision describes one scheduling decision and its reason.
type Decision = policy.Decision

// Factor is a named value that a decision was based on.
type Factor = policy.Factor

const (
	// DecisionsKept is the retention time of decisions.
	DecisionsKept = time.Hour
	// maxDecisions bounds the memory of the store. If it is exceeded within
	// DecisionsKept, the oldest decisions are dropped.
	maxDecisions = 16384
	// maxReasonBytes bounds the reason of a decision, which may be text from a worker.
	maxReasonBytes = 512
)

// decisionStore is a ring buffer of the newest decisions.
type decisionStore struct {
	ring []Decision
	next int
}

func newDecisionStore() decisionStore { return decisionStore{} }

func (s *decisionStore) add(d Decision) {
	if len(d.Reason) > maxReasonBytes {
		d.Reason = strings.ToValidUTF8(d.Reason[:maxReasonBytes], "") + "..."
	}
	if len(s.ring) < maxDecisions {
		s.ring = append(s.ring, d)
		return
	}
	s.ring[s.next] = d
	s.next = (s.next + 1) % maxDecisions
}

// find returns up to limit decisions about a task, worker or service since the given
// time, newest first.
func (s *decisionStore) find(since time.Duration, subject string, limit int) []Decision {
	var found []Decision
	for i := len(s.ring) - 1; i >= 0 && len(found) < limit; i-- {
		d := s.ring[(s.next+i)%len(s.ring)]
		if d.At < since {
			continue
		}
		if subject == "" || d.Subject == subject || d.Worker == subject {
			found = append(found, d)
		}
	}
	return found
}

func (c *Core) recordDecision(now time.Duration, d Decision) {
	d.At = now
	c.decisions.add(d)
	c.tickNeeded = true
}

func (c *Core) collectDecisions(now time.Duration) {
	for _, d := range c.engine.TakeDecisions() {
		c.decisions.add(d)
		if d.Kind == "quarantined" || d.Kind == "readmitted" {
			c.queueAction(RecordAudit{Action: d.Kind, Subject: d.Subject, Detail: d.Reason, At: now})
		}
	}
}

// Explain returns up to limit decisions about a subject from the last DecisionsKept,
// newest first. An empty subject matches all.
func (c *Core) Explain(now time.Duration, subject string, limit int) []Decision {
	return c.decisions.find(now-DecisionsKept, subject, limit)
}
