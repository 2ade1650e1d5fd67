package jobs

import (
	"cmp"
	"slices"
)

// maxEvacuationRecords bounds the audit trail of evacuations.
const maxEvacuationRecords = 256

// Evacuate orders that no more tasks start in a failure domain. Repeating it changes
// nothing.
type Evacuate struct {
	Domain string `json:"domain"`
	// By is the operator, empty if unknown. Replica is the replica that accepted the order.
	By      string `json:"by,omitempty"`
	Replica string `json:"replica,omitempty"`
	At      int64  `json:"at"`
}

// EndEvacuation revokes the evacuation of a failure domain. Repeating it changes nothing.
type EndEvacuation Evacuate

// Evacuation is an evacuation that is in force.
type Evacuation struct {
	Domain string `json:"domain"`
	By     string `json:"by,omitempty"`
	// Since is a Unix time in milliseconds.
	Since int64 `json:"since"`
}

// EvacuationAction is what an EvacuationRecord records.
type EvacuationAction string

// Actions of an EvacuationRecord.
const (
	ActionEvacuated EvacuationAction = "evacuated"
	ActionRevoked   EvacuationAction = "revoked"
)

// EvacuationRecord is the audit record of an order that changed the evacuations.
type EvacuationRecord struct {
	// Number counts the records from 1.
	Number int64            `json:"n"`
	Action EvacuationAction `json:"action"`
	Order  Evacuate         `json:"order"`
}

// evacuations is the state of the evacuated failure domains.
type evacuations struct {
	inForce map[string]Evacuation
	records []EvacuationRecord
}

func (s *Store) evacuate(c *Evacuate) Result {
	if s.Evacuated(c.Domain) {
		return Result{}
	}
	s.evacuations.inForce[c.Domain] = Evacuation{Domain: c.Domain, By: c.By, Since: c.At}
	s.evacuations.record(ActionEvacuated, c)
	return Result{Applied: true}
}

func (s *Store) endEvacuation(c *EndEvacuation) Result {
	if !s.Evacuated(c.Domain) {
		return Result{}
	}
	delete(s.evacuations.inForce, c.Domain)
	s.evacuations.record(ActionRevoked, (*Evacuate)(c))
	return Result{Applied: true}
}

func (e *evacuations) record(action EvacuationAction, c *Evacuate) {
	number := int64(1)
	if len(e.records) > 0 {
		number = e.records[len(e.records)-1].Number + 1
	}
	e.records = append(e.records, EvacuationRecord{Number: number, Action: action, Order: *c})
	if surplus := len(e.records) - maxEvacuationRecords; surplus > 0 {
		e.records = slices.Delete(e.records, 0, surplus)
	}
}

// Evacuated reports whether no more tasks may start in a failure domain.
func (s *Store) Evacuated(domain string) bool {
	_, evacuated := s.evacuations.inForce[domain]
	return evacuated
}

// Evacuations returns the evacuations that are in force, sorted by domain.
func (s *Store) Evacuations() []Evacuation {
	list := make([]Evacuation, 0, len(s.evacuations.inForce))
	for _, e := range s.evacuations.inForce {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Evacuation) int { return cmp.Compare(a.Domain, b.Domain) })
	return list
}

// EvacuationCount returns the number of evacuations that are in force.
func (s *Store) EvacuationCount() int { return len(s.evacuations.inForce) }

// EvacuationRecords returns the newest audit records of evacuations, the oldest first. The
// result must not be modified.
func (s *Store) EvacuationRecords() []EvacuationRecord { return s.evacuations.records }

// KnowsDomain reports whether a registered worker is in a failure domain or the domain is
// evacuated.
func (s *Store) KnowsDomain(domain string) bool {
	if s.Evacuated(domain) {
		return true
	}
	for _, w := range s.workers {
		if w.Domain == domain {
			return true
		}
	}
	return false
}
