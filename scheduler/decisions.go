package scheduler

import (
	"time"

	"geraniumwall/policy"
)

// Decision explains one decision.
type Decision = policy.Decision

// Figure is one number behind a decision.
type Figure = policy.Figure

// maxDecisions bounds the store; the oldest decisions are dropped first.
const maxDecisions = 8192

// decisionStore is a ring of the newest decisions.
type decisionStore struct {
	ring []Decision
	next int
}

func newDecisionStore() decisionStore { return decisionStore{} }

func (s *decisionStore) add(d Decision) {
	if len(s.ring) < maxDecisions {
		s.ring = append(s.ring, d)
		return
	}
	s.ring[s.next] = d
	s.next = (s.next + 1) % maxDecisions
}

// about returns up to limit decisions on a task, worker or service, newest first.
func (s *decisionStore) about(subject string, limit int) []Decision {
	var found []Decision
	for i := len(s.ring) - 1; i >= 0 && len(found) < limit; i-- {
		d := s.ring[(s.next+i)%len(s.ring)]
		if subject == "" || d.Subject == subject || d.Worker == subject {
			found = append(found, d)
		}
	}
	return found
}

func (c *Core) note(now time.Duration, d Decision) {
	d.At = now
	c.decisions.add(d)
}

func (c *Core) collectDecisions(now time.Duration) {
	for _, d := range c.engine.Decisions() {
		c.decisions.add(d)
		if d.Kind == "quarantined" || d.Kind == "readmitted" {
			c.act(RecordAudit{Action: d.Kind, Subject: d.Subject, Detail: d.Reason, At: now})
		}
	}
}

// Explain returns up to limit decisions on a subject, newest first; an empty
// subject stands for all.
func (c *Core) Explain(subject string, limit int) []Decision {
	return c.decisions.about(subject, limit)
}
