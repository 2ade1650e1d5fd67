package routing

import "time"

// dispatch admits queued requests while upstreams have free slots. Of several
// services, the one that has used the least slot time goes first.
func (t *Table) dispatch(now time.Duration) []Wake {
	var wakes []Wake
	for {
		s, e := t.nextRequest(now, &wakes)
		if s == nil {
			return wakes
		}
		w := s.head()
		s.removeWaiter(w)
		wakes = append(wakes, Wake{Waiter: w, Decision: Decision{Kind: Admitted, Ticket: t.take(e, now)}})
	}
}

// nextRequest returns the service whose oldest request is admitted next and an
// endpoint with a free slot for it, or nil. Decisions on requests that it sheds are
// added to wakes.
func (t *Table) nextRequest(now time.Duration, wakes *[]Wake) (*service, *endpoint) {
	var best *service
	var free *endpoint
	for _, s := range t.serviceOrder {
		if s.waiting == 0 {
			continue
		}
		*wakes = append(*wakes, shedExpired(s, now)...)
		w := s.head()
		if w == nil || (best != nil && s.slotTime >= best.slotTime) {
			continue
		}
		if e := t.chooseEndpoint(s, w.request.Avoid, now); e != nil {
			best, free = s, e
		}
	}
	return best, free
}

// shedExpired sheds the oldest requests as long as they are not expected to complete
// before their deadline.
func shedExpired(s *service, now time.Duration) []Wake {
	var wakes []Wake
	for w := s.head(); w != nil && now >= w.latestStart; w = s.head() {
		s.removeWaiter(w)
		wakes = append(wakes, Wake{Waiter: w, Decision: Decision{
			Kind: Shed, Reason: ShedDeadline, RetryAfter: s.estimatedWait(),
		}})
	}
	return wakes
}

// shedAll sheds all queued requests of a service.
func shedAll(s *service, reason ShedReason) []Wake {
	var wakes []Wake
	for w := s.head(); w != nil; w = s.head() {
		s.removeWaiter(w)
		wakes = append(wakes, Wake{Waiter: w, Decision: Decision{Kind: Shed, Reason: reason}})
	}
	return wakes
}

// Cancel removes a waiter from its queue. It returns false if the request has
// already been decided on; the caller must then handle that decision.
func (t *Table) Cancel(w *Waiter) bool {
	if w.decided {
		return false
	}
	w.service.removeWaiter(w)
	w.service.head()
	return true
}
