package routing

import (
	"slices"
	"strings"
	"time"
)

// LeavingDuration is how long a worker counts as leaving after the sync request
// that said so; it equals the duration of a grant, so no older grant outlives it.
const LeavingDuration = 3 * time.Second

// GrantSet is one scheduler's answer to a sync: the complete set of grants that
// the gateway holds from it.
type GrantSet struct {
	Scheduler string
	Sent      time.Duration
	Grants    []Grant
	Leaving   []string
}

// Book merges the grant sets of several schedulers.
type Book struct {
	sets map[string]GrantSet
	// newest holds the grant with the highest session of each worker, even after
	// its scheduler has withdrawn it: the worker refuses older sessions.
	newest map[string]Grant
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{sets: map[string]GrantSet{}, newest: map[string]Grant{}}
}

// Receive replaces the set of a scheduler. It returns false and changes nothing
// if a set that was requested later is already in the book.
func (b *Book) Receive(set GrantSet) bool {
	if old, known := b.sets[set.Scheduler]; known && old.Sent > set.Sent {
		return false
	}
	b.sets[set.Scheduler] = set
	for _, g := range set.Grants {
		if old := b.newest[g.Worker]; old.Expires <= set.Sent || better(g, old) {
			b.newest[g.Worker] = g
		}
	}
	return true
}

// Usable returns the grants in force at now in order of worker name. Of several
// unexpired grants for a worker the one with the highest session wins, since the
// worker refuses every older session. An older session is used only when the newer
// one has expired, as after a restart of the worker. Workers listed as leaving have
// none.
func (b *Book) Usable(now time.Duration) []Grant {
	best := map[string]Grant{}
	leaving := map[string]bool{}
	for _, set := range b.sets {
		for _, g := range set.Grants {
			if g.Expires > now && !b.outdated(g, now) && better(g, best[g.Worker]) {
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

func (b *Book) outdated(g Grant, now time.Duration) bool {
	newest := b.newest[g.Worker]
	return newest.Expires > now && newest.Session > g.Session
}

func better(a, b Grant) bool {
	if a.Session != b.Session {
		return a.Session > b.Session
	}
	return a.Expires > b.Expires
}

// Prune forgets what is not in force any more.
func (b *Book) Prune(now time.Duration) {
	for name, set := range b.sets {
		if set.expired(now) {
			delete(b.sets, name)
		}
	}
	for worker, g := range b.newest {
		if g.Expires <= now {
			delete(b.newest, worker)
		}
	}
}

func (s GrantSet) expired(now time.Duration) bool {
	if s.Sent+LeavingDuration > now {
		return false
	}
	return !slices.ContainsFunc(s.Grants, func(g Grant) bool { return g.Expires > now })
}
