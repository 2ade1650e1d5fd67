package transport

import (
	"cmp"
	"slices"
	"time"
)

// begin lists the body as one in progress, and starts to look for late ones with the first.
func (p *Port) begin(a *account) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bodies[a] = struct{}{}
	if !p.sweeping {
		p.sweeping = true
		go p.sweep()
	}
}

// sweep gives late bodies up while there are bodies, and stalled ones while others wait for
// their room.
func (p *Port) sweep() {
	for {
		time.Sleep(sweepInterval)
		p.mu.Lock()
		var late []*account
		for a := range p.bodies {
			if a.late() != reasonNone {
				late = append(late, a)
			}
		}
		p.sweeping = len(p.bodies) > 0
		goOn := p.sweeping
		p.mu.Unlock()
		if !goOn {
			return
		}
		for _, a := range late {
			a.giveUp(a.late())
		}
		if n := p.waiters(); n > 0 {
			p.abortStalled(n)
		}
	}
}

// late returns why a body takes too long, if it does.
func (a *account) late() reason {
	s := &a.port.intake.settings
	idleLimit := s.bodyIdleTimeout()
	took, idle := time.Since(a.started), a.idle()
	switch {
	case idle > idleLimit:
		return reasonStalled
	case took > millisecondsOr(s.BodyTimeoutMS, defaultBodyTimeout):
		return reasonLate
	case s.MinBodyRate > 0 && took > idleLimit && float64(a.received.Load()) < float64(s.MinBodyRate)*took.Seconds():
		return reasonSlow
	}
	return reasonNone
}

func millisecondsOr(ms int64, fallback time.Duration) time.Duration {
	return cmp.Or(time.Duration(ms)*time.Millisecond, fallback)
}

// idle returns the time since the last byte of the body, 0 if the body waits for this process.
func (a *account) idle() time.Duration {
	if a.waiting.Load() {
		return 0
	}
	return sinceStart() - time.Duration(a.lastAt.Load())
}

// abortStalled gives up at most n of the bodies that have stalled, those with the least
// progress first, and reports whether there was one. It looks for them once in searchInterval
// at most, so that its work doesn't grow with the number of clients that find no room.
func (p *Port) abortStalled(n int) bool {
	stalled := p.stalled()
	for _, a := range stalled[:min(n, len(stalled))] {
		a.giveUp(reasonStalled)
	}
	return len(stalled) > 0
}

// stalled returns the bodies that have stalled, those with the least progress first.
func (p *Port) stalled() []*account {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := sinceStart()
	if p.searchedAt != 0 && now-p.searchedAt < searchInterval {
		return nil
	}
	p.searchedAt = now
	var list []*account
	for a := range p.bodies {
		if a.idle() > stallTime && a.refused() == reasonNone {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *account) int { return cmp.Compare(a.received.Load(), b.received.Load()) })
	return list
}

// waiters returns how many requests wait for room.
func (p *Port) waiters() int {
	n := p.main.waiters.Load()
	if p.relayed != nil {
		n += p.relayed.waiters.Load()
	}
	return int(n)
}
