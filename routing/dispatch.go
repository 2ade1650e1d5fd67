package routing

import "time"

// dispatch admits queued requests while there is room. Of several services the
// one that has used the least slot time goes first.
func (t *Table) dispatch(now time.Duration) []Wake {
	var wakes []Wake
	for {
		s, l := t.next(now, &wakes)
		if s == nil {
			return wakes
		}
		w := s.head()
		s.finish(w)
		wakes = append(wakes, Wake{Waiter: w, Decision: Decision{Kind: Admitted, Ticket: t.take(l, now)}})
	}
}

// next returns the service to admit from and a free lane for its oldest request.
func (t *Table) next(now time.Duration, wakes *[]Wake) (*service, *lane) {
	var best *service
	var room *lane
	for _, s := range t.order {
		if s.waiting == 0 {
			continue
		}
		*wakes = append(*wakes, shedLate(s, now)...)
		w := s.head()
		if w == nil || (best != nil && s.used >= best.used) {
			continue
		}
		if l := t.choose(s, w.request.Avoid, now); l != nil {
			best, room = s, l
		}
	}
	return best, room
}

// shedLate drops the oldest requests while they could not end in time any more.
func shedLate(s *service, now time.Duration) []Wake {
	var wakes []Wake
	for w := s.head(); w != nil && now >= w.latest; w = s.head() {
		s.finish(w)
		wakes = append(wakes, Wake{Waiter: w, Decision: Decision{
			Kind: Shed, Reason: ShedDeadline, RetryAfter: s.wait(),
		}})
	}
	return wakes
}

func shedAll(s *service, reason ShedReason) []Wake {
	var wakes []Wake
	for w := s.head(); w != nil; w = s.head() {
		s.finish(w)
		wakes = append(wakes, Wake{Waiter: w, Decision: Decision{Kind: Shed, Reason: reason}})
	}
	return wakes
}

// Cancel removes a waiter from its queue. It returns false if the decision on it
// has been made already; the caller must then accept that decision.
func (t *Table) Cancel(w *Waiter) bool {
	if w.done {
		return false
	}
	w.service.finish(w)
	w.service.head()
	return true
}
