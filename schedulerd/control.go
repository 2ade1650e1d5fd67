package schedulerd

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"geraniumwall/control/client"
	"geraniumwall/lease"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/scheduler"
)

const (
	// renewTimeout bounds one renewal; an answer after the lease is of no use.
	renewTimeout  = lease.SchedulerLease
	reportTimeout = 5 * time.Second
	syncWait      = 5 * time.Second
	syncPause     = 100 * time.Millisecond
)

// controlLink talks to the control replicas on behalf of the core.
type controlLink struct {
	ctx      context.Context
	settings *Settings
	address  string
	client   *client.Client
	follower *client.Follower
	loop     *loop
	log      zerolog.Logger
	metrics  *metrics
	peer     *peerLink
	mu       sync.Mutex
	endSync  context.CancelFunc
}

// renewEvery asks for the leases at each interval, whether or not the request
// before has been answered, so that one lost answer does not cost the lease.
func (l *controlLink) renewEvery(ctx context.Context) {
	ticker := time.NewTicker(lease.RenewEvery)
	defer ticker.Stop()
	for {
		go l.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (l *controlLink) renew(ctx context.Context) {
	var request scheduler.LeaseRequest
	var load scheduler.Load
	var ask bool
	var sent time.Duration
	var drains uint64
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	err := l.loop.do(ctx, func(now time.Duration, core *scheduler.Core) {
		request, ask = core.LeaseRequest(now)
		load, drains, sent = core.Load(), core.Drains(), now
	})
	if err != nil || !ask {
		return
	}
	answer, err := client.Call(ctx, l.client, "RenewLease", 0, controlpb.Control.RenewLease, &controlpb.RenewLeaseRequest{
		Domain: l.settings.Domain, Scheduler: l.settings.Name, Address: l.address,
		Epoch: request.Epoch, MayBeAppointed: request.MayBeAppointed, KnownRevision: request.Revision,
		Load: loadMessage(load), ConfigVersion: l.follower.Current().Version,
		KnownDrains: drains,
	})
	if err != nil {
		l.metrics.renewal(ctx, false)
		return
	}
	l.metrics.renewal(ctx, true)
	l.follower.Notice(answer.GetConfigVersion())
	l.peer.learn(answer)
	l.loop.send(func(now time.Duration, core *scheduler.Core) {
		if answer.GetDrains() > drains {
			core.SetDrained(now, answer.GetDrains(), answer.GetDrained())
		}
		core.ControlRenewed(now, sent, leaseAnswer(answer))
	})
}

// startSync follows the tasks of the domain from the start in a new epoch.
func (l *controlLink) startSync(epoch uint64) {
	l.stopSync()
	ctx, cancel := context.WithCancel(l.ctx)
	l.mu.Lock()
	l.endSync = cancel
	l.mu.Unlock()
	go l.follow(ctx, epoch)
}

func (l *controlLink) stopSync() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endSync != nil {
		l.endSync()
		l.endSync = nil
	}
}

func (l *controlLink) follow(ctx context.Context, epoch uint64) {
	after := uint64(0)
	for ctx.Err() == nil {
		answer, err := client.Call(ctx, l.client, "SyncTasks", syncWait, controlpb.Control.SyncTasks, &controlpb.SyncTasksRequest{
			Domain: l.settings.Domain, Scheduler: l.settings.Name, Epoch: epoch,
			AfterIndex: after, WaitMs: syncWait.Milliseconds(),
		})
		if err != nil {
			l.log.Debug().Err(err).Msg("task sync failed")
			wait(ctx, syncPause)
			continue
		}
		tasks := make([]scheduler.BoundTask, 0, len(answer.GetTasks()))
		for _, t := range answer.GetTasks() {
			tasks = append(tasks, boundTask(t))
		}
		err = l.loop.do(ctx, func(now time.Duration, core *scheduler.Core) {
			core.SyncTasks(now, epoch, tasks, answer.GetComplete())
		})
		if err == nil {
			after = answer.GetIndex()
		}
	}
}

func (l *controlLink) report(a scheduler.SendReports) {
	events := make([]*controlpb.TaskEvent, 0, len(a.Events))
	for _, r := range a.Events {
		events = append(events, taskEvent(r))
	}
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, reportTimeout)
		defer cancel()
		answer, err := client.Call(ctx, l.client, "ReportTasks", 0, controlpb.Control.ReportTasks, &controlpb.ReportTasksRequest{
			Domain: l.settings.Domain, Scheduler: l.settings.Name, Epoch: a.Epoch, Events: events,
		})
		if err != nil {
			l.log.Debug().Err(err).Int("events", len(events)).Msg("report failed")
		} else if n := len(answer.GetStale()); n > 0 {
			l.log.Warn().Int("events", n).Msg("control refused events as stale")
		}
		l.metrics.reports(ctx, events, err == nil)
		if err == nil {
			l.metrics.evicted(ctx, a.Events)
		}
		l.loop.send(func(now time.Duration, core *scheduler.Core) { core.ReportsAnswered(now, a.Epoch, a.Batch, err == nil) })
	}()
}

// audit records a decision; the trail of automatic decisions is best effort while
// control cannot be reached.
func (l *controlLink) audit(a scheduler.RecordAudit) {
	l.metrics.decision(l.ctx, a.Action)
	record := &controlpb.AuditRecord{
		UnixMs: l.loop.clock.wall(a.At).UnixMilli(), Actor: l.settings.Name, Action: "scheduler." + a.Action,
		Subject: a.Subject, Detail: a.Detail, Result: "done",
	}
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, reportTimeout)
		defer cancel()
		_, err := client.Call(ctx, l.client, "RecordAudit", 0, controlpb.Control.RecordAudit,
			&controlpb.RecordAuditRequest{Records: []*controlpb.AuditRecord{record}})
		if err != nil {
			l.log.Debug().Err(err).Str("action", a.Action).Msg("audit record failed")
		}
	}()
}

func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
