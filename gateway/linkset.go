package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// directoryInterval is how often the gateway looks for new schedulers.
const directoryInterval = time.Second

// linkSet holds a link to each scheduler of the settings and of the directory. A
// link is never removed, since its sequence must not begin again; one whose
// scheduler has left the directory rests.
type linkSet struct {
	gateway *Gateway
	http    *http.Client
	// listed holds the names of the schedulers of the settings.
	listed map[string]bool

	mu    sync.Mutex
	links []*link
}

func newLinkSet(g *Gateway, c *http.Client) *linkSet {
	s := &linkSet{gateway: g, http: c, listed: map[string]bool{}}
	for _, one := range g.options.Schedulers {
		s.listed[one.Name] = true
		s.links = append(s.links, newLink(g, one, c))
	}
	return s
}

// all returns the links. The slice must not be changed.
func (s *linkSet) all() []*link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[:len(s.links):len(s.links)]
}

// start runs every link and follows the directory until ctx is over.
func (s *linkSet) start(ctx context.Context) {
	for _, l := range s.all() {
		s.gateway.spawn(func() { l.run(ctx) })
	}
	if s.gateway.options.Directory != nil {
		s.gateway.spawn(func() { s.follow(ctx) })
	}
}

func (s *linkSet) follow(ctx context.Context) {
	ticker := time.NewTicker(directoryInterval)
	defer ticker.Stop()
	for {
		for _, added := range s.update(s.gateway.options.Directory()) {
			s.gateway.spawn(func() { added.run(ctx) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// update takes in the schedulers of the directory and returns the new links.
func (s *linkSet) update(found []Scheduler) []*link {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := map[string]Scheduler{}
	for _, one := range found {
		present[one.Name] = one
	}
	for _, l := range s.links {
		current, here := present[l.scheduler.Name]
		l.absent.Store(!here && !s.listed[l.scheduler.Name])
		l.route.learn(current.Address)
		delete(present, l.scheduler.Name)
	}
	var added []*link
	for _, one := range found {
		if _, unknown := present[one.Name]; unknown {
			added = append(added, newLink(s.gateway, one, s.http))
			delete(present, one.Name)
		}
	}
	s.links = append(s.links, added...)
	return added
}
