package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"geraniumwall/routing"
	"geraniumwall/rpc/grantdelta"
	"geraniumwall/rpc/schedulerpb"
)

const (
	syncInterval = 250 * time.Millisecond
	// syncTimeout bounds one sync, so that a silent scheduler is asked again
	// before the grants expire.
	syncTimeout = time.Second
	// triggerPause separates syncs that are triggered by refused requests.
	triggerPause = 20 * time.Millisecond
	// configPatience is how long a scheduler may stay behind before the gateway
	// sends it the configuration. Usually it gets it from a control replica sooner.
	configPatience = time.Second
	// wrongPeerLogPeriod bounds a warning that would repeat with every sync.
	wrongPeerLogPeriod = 10 * time.Second
)

// link syncs grants with one scheduler. Schedulers of other domains are asked only
// while a service finds no free slot in the own domain or their slots are in use;
// after that their grants expire.
type link struct {
	gateway   *Gateway
	scheduler Scheduler
	route     *route
	wrongPeer zerolog.Logger
	triggered chan struct{}
	// absent is set while neither the settings nor the directory name the scheduler.
	absent atomic.Bool
	// active is set while the scheduler is asked regularly.
	active atomic.Bool
	// sequence counts the syncs from 1.
	sequence uint64
	// behindSince is when the scheduler was first seen behind this gateway; 0 if it
	// was not at the last answer.
	behindSince time.Duration
	holder      grantdelta.Holder
}

func newLink(g *Gateway, s Scheduler, c *http.Client) *link {
	return &link{
		gateway: g, scheduler: s, route: newRoute(s.Address, c),
		wrongPeer: g.log.Sample(&zerolog.BurstSampler{Burst: 1, Period: wrongPeerLogPeriod}),
		triggered: make(chan struct{}, 1),
	}
}

func (l *link) run(ctx context.Context) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		needed := l.needed()
		l.active.Store(needed)
		if needed {
			l.sync(ctx, false)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.triggered:
			l.pause(ctx)
		}
	}
}

func (l *link) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(triggerPause):
	}
}

func (l *link) needed() bool {
	if l.absent.Load() {
		return false
	}
	if l.scheduler.Domain == l.gateway.options.Domain {
		return true
	}
	needed := false
	l.gateway.balancer.read(func(t *routing.Table, now time.Duration) {
		needed = t.Starved(now) || t.Uses(l.scheduler.Domain)
	})
	return needed
}

// trigger starts a sync at once.
func (l *link) trigger() {
	select {
	case l.triggered <- struct{}{}:
	default:
	}
}

// activate asks a scheduler of another domain at once when it is not being asked yet.
func (l *link) activate() {
	if !l.active.Load() {
		l.trigger()
	}
}

// sync sends what has changed since the last answer, and everything if the
// scheduler does not hold that answer.
func (l *link) sync(ctx context.Context, draining bool) {
	if !l.exchange(ctx, draining) {
		l.exchange(ctx, draining)
	}
}

// exchange sends one sync. It returns false if a whole one must follow.
func (l *link) exchange(ctx context.Context, draining bool) bool {
	g := l.gateway
	l.sequence++
	request := l.request(draining)
	sent := g.clock()
	bounded, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	answer, err := l.route.client().SyncGrants(bounded, l.holder.Shorten(request))
	if err == nil && answer.GetScheduler() != l.scheduler.Name {
		err = fmt.Errorf("scheduler %q answered", answer.GetScheduler())
		l.wrongPeer.Warn().Str("scheduler", l.scheduler.Name).Err(err).
			Msg("another scheduler has the address; correct schedulers in the settings of this gateway")
	}
	l.route.used(err)
	if err != nil {
		g.metrics.syncFailed(ctx, l.scheduler.Name)
		return true
	}
	g.follower.Notice(answer.GetConfigVersion())
	l.compare(answer.GetConfigVersion())
	answer, restored := l.holder.Restore(request, answer)
	if !restored {
		return false
	}
	// The next sync reports what is held, so it must follow the use of this answer.
	g.owner.receiveGrants(ctx, grantSet(l.scheduler.Name, sent, answer))
	return true
}

// compare notes since when the scheduler has been behind.
func (l *link) compare(version uint64) {
	switch {
	case version >= l.gateway.follower.Current().Version:
		l.behindSince = 0
	case l.behindSince == 0:
		l.behindSince = l.gateway.clock()
	}
}

// offer adds the configuration for a scheduler of the own domain that stays behind.
func (l *link) offer(request *schedulerpb.SyncGrantsRequest) {
	g := l.gateway
	if l.behindSince == 0 || l.scheduler.Domain != g.options.Domain || g.clock()-l.behindSince < configPatience {
		return
	}
	current := g.follower.Current()
	request.ConfigVersion, request.Config = current.Version, current.Content
}

func (l *link) request(draining bool) *schedulerpb.SyncGrantsRequest {
	g := l.gateway
	var report routing.Report
	g.balancer.read(func(t *routing.Table, now time.Duration) { report = t.Report(l.scheduler.Domain, now) })
	request := &schedulerpb.SyncGrantsRequest{
		Gateway: g.options.Name, Domain: g.options.Domain, Incarnation: g.options.Incarnation,
		ConfigVersion: g.settings.Load().version, Draining: draining, Sequence: l.sequence,
	}
	for _, d := range report.Demands {
		request.Demands = append(request.Demands, demandMessage(d))
	}
	for _, h := range report.Holdings {
		request.Holdings = append(request.Holdings, holdingMessage(h, draining))
	}
	l.offer(request)
	return request
}

// holdingMessage leaves out the slots in use while the grant covers them: only the
// larger of the two counts, and the use changes with each request. A gateway that
// stops reports all, for whoever looks what it still does.
func holdingMessage(h routing.Holding, draining bool) *schedulerpb.Holding {
	m := &schedulerpb.Holding{Worker: h.Worker, Session: h.Session, Slots: int32(h.Slots)}
	if draining || h.SlotsInUse > h.Slots {
		m.SlotsInUse = int32(h.SlotsInUse)
	}
	return m
}

func demandMessage(d routing.Demand) *schedulerpb.ServiceDemand {
	return &schedulerpb.ServiceDemand{
		Service: d.Service, Outstanding: int32(d.Outstanding), Queued: int32(d.Queued),
	}
}

// grantSet converts an answer. Durations count from the time at which the sync was
// sent. Negative numbers count as none.
func grantSet(scheduler string, sent time.Duration, answer *schedulerpb.SyncGrantsResponse) routing.GrantSet {
	set := routing.GrantSet{Scheduler: scheduler, Sent: sent, Leaving: answer.GetLeaving()}
	for _, g := range answer.GetGrants() {
		duration := min(time.Duration(max(0, g.GetDurationMs()))*time.Millisecond, routing.LeavingDuration)
		set.Grants = append(set.Grants, routing.Grant{
			Worker: g.GetWorker(), Address: g.GetAddress(), Domain: g.GetDomain(), Session: g.GetSession(),
			Slots: int(max(0, g.GetSlots())), Connections: int(max(0, g.GetConnections())),
			Services: g.GetServices(), Sent: sent, Expires: sent + duration,
		})
	}
	return set
}

// returnGrants reports that the gateway uses none of its grants any more.
func (l *link) returnGrants(ctx context.Context) {
	if l.needed() {
		l.sync(ctx, true)
	}
}
