package scheduler

import (
	"strings"
	"time"

	"geraniumwall/policy"
)

// Decision explains one decision.
type Decision = policy.Decision

// Figure is one number behind a decision.
type Figure = policy.Figure

const (
	// DecisionsKept is the time for which decisions are kept.
	DecisionsKept = time.Hour
	// maxDecisions bounds the memory of the store before that time is over; the oldest
	// decisions are dropped first.
	maxDecisions = 16384
	// maxReasonBytes bounds the reason of a decision, which may be a worker's text.
	maxReasonBytes = 512
)

// decisionStore is a ring of the newest decisions.
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

// find returns up to limit decisions on a task, worker or service since a time,
// newest first.
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
	for _, d := range c.engine.Decisions() {
		c.decisions.add(d)
		if d.Kind == "quarantined" || d.Kind == "readmitted" {
			c.queueAction(RecordAudit{Action: d.Kind, Subject: d.Subject, Detail: d.Reason, At: now})
		}
	}
}

// Explain returns up to limit decisions of the last DecisionsKept on a subject,
// newest first; an empty subject stands for all.
func (c *Core) Explain(now time.Duration, subject string, limit int) []Decision {
	return c.decisions.find(now-DecisionsKept, subject, limit)
}
