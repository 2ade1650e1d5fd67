package routing

import (
	"slices"
	"strings"
	"time"
)

// LeavingDuration is how long a worker counts as leaving after the sync request
// whose response listed it. It equals the duration of a grant, so that no older
// grant outlives it.
const LeavingDuration = 3 * time.Second

// GrantSet is the response of one scheduler to a sync request: the complete set of
// grants that the gateway holds from it.
type GrantSet struct {
	Scheduler string
	// Sent is the time at which the sync request was sent.
	Sent   time.Duration
	Grants []Grant
	// Leaving lists the workers that are leaving.
	Leaving []string
}

// Book merges the grant sets of several schedulers.
type Book struct {
	setsByScheduler map[string]GrantSet
	// newestGrant holds each worker's grant with the highest session. It is kept after
	// the scheduler has withdrawn the grant, since the worker refuses older sessions.
	newestGrant map[string]Grant
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{setsByScheduler: map[string]GrantSet{}, newestGrant: map[string]Grant{}}
}

// Receive replaces the grant set of a scheduler. It returns false and changes
// nothing if the book already has a set that was requested later.
func (b *Book) Receive(set GrantSet) bool {
	if old, known := b.setsByScheduler[set.Scheduler]; known && old.Sent > set.Sent {
		return false
	}
	b.setsByScheduler[set.Scheduler] = set
	for _, g := range set.Grants {
		if old := b.newestGrant[g.Worker]; old.Expires <= set.Sent || preferable(g, old) {
			b.newestGrant[g.Worker] = g
		}
	}
	return true
}

// Usable returns the grants that are valid at time now, ordered by worker name. Of
// several unexpired grants for a worker it returns the one with the highest session,
// since the worker refuses every older session. A grant of an older session is used
// only once the newer grant has expired, for example after a restart of the worker.
// Grants of workers that are leaving are omitted.
func (b *Book) Usable(now time.Duration) []Grant {
	best := map[string]Grant{}
	leaving := map[string]bool{}
	for _, set := range b.setsByScheduler {
		for _, g := range set.Grants {
			if g.Expires > now && !b.superseded(g, now) && preferable(g, best[g.Worker]) {
				best[g.Worker] = g
			}
		}
		if set.Sent+LeavingDuration <= now {
			continue
		}
		for _, worker := range set.Leaving {
			leaving[worker] = true
		}
	}
	usable := make([]Grant, 0, len(best))
	for worker, g := range best {
		if !leaving[worker] && g.limit() > 0 {
			usable = append(usable, g)
		}
	}
	slices.SortFunc(usable, func(a, c Grant) int { return strings.Compare(a.Worker, c.Worker) })
	return usable
}

// superseded reports whether an unexpired grant of a newer session is known.
func (b *Book) superseded(g Grant, now time.Duration) bool {
	newest := b.newestGrant[g.Worker]
	return newest.Expires > now && newest.Session > g.Session
}

// preferable reports whether a is for a newer session than b or, within a session,
// expires later.
func preferable(a, b Grant) bool {
	if a.Session != b.Session {
		return a.Session > b.Session
	}
	return a.Expires > b.Expires
}

// Prune removes expired grants and sets.
func (b *Book) Prune(now time.Duration) {
	for name, set := range b.setsByScheduler {
		if set.expired(now) {
			delete(b.setsByScheduler, name)
		}
	}
	for worker, g := range b.newestGrant {
		if g.Expires <= now {
			delete(b.newestGrant, worker)
		}
	}
}

func (s GrantSet) expired(now time.Duration) bool {
	if s.Sent+LeavingDuration > now {
		return false
	}
	return !slices.ContainsFunc(s.Grants, func(g Grant) bool { return g.Expires > now })
}
