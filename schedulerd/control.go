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
	// renewTimeout bounds one renewal. A lease counts from the time of its request, so
	// a response that takes longer than the lease is of no use.
	renewTimeout   = lease.SchedulerLease
	reportTimeout  = 5 * time.Second
	syncPollWait   = 5 * time.Second
	syncRetryDelay = 100 * time.Millisecond
)

// controlClient calls the control replicas on behalf of the core.
type controlClient struct {
	ctx        context.Context
	settings   *Settings
	address    string
	client     *client.Client
	follower   *client.Follower
	core       *coreRef
	log        zerolog.Logger
	metrics    *metrics
	peer       *peerClient
	mu         sync.Mutex
	cancelSync context.CancelFunc
}

// runRenewals requests the leases at each interval, even while the previous request
// is still unanswered, so that one lost response does not cost the lease.
func (c *controlClient) runRenewals(ctx context.Context) {
	ticker := time.NewTicker(lease.RenewEvery)
	defer ticker.Stop()
	for {
		go c.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *controlClient) renew(ctx context.Context) {
	var request scheduler.LeaseRequest
	var load scheduler.Load
	var needed bool
	var sentAt time.Duration
	var drains uint64
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	err := c.core.call(ctx, func(now time.Duration, core *scheduler.Core) {
		request, needed = core.LeaseRequest(now)
		load, drains, sentAt = core.Load(), core.Drains(), now
	})
	if err != nil || !needed {
		return
	}
	response, err := client.Call(ctx, c.client, "RenewLease", 0, controlpb.Control.RenewLease, &controlpb.RenewLeaseRequest{
		Domain: c.settings.Domain, Scheduler: c.settings.Name, Address: c.address,
		Epoch: request.Epoch, MayBeAppointed: request.MayBeAppointed, KnownRevision: request.Revision,
		Load: loadMessage(load), ConfigVersion: c.follower.Current().Version,
		KnownDrains: drains,
	})
	if err != nil {
		c.metrics.countRenewal(ctx, false)
		return
	}
	c.metrics.countRenewal(ctx, true)
	c.follower.Notice(response.GetConfigVersion())
	c.peer.updateStandby(response)
	c.core.send(func(now time.Duration, core *scheduler.Core) {
		if response.GetDrains() > drains {
			core.SetDrained(now, response.GetDrains(), response.GetDrained())
		}
		core.ControlRenewed(now, sentAt, leaseAnswer(response))
	})
}

// startSync starts to follow the tasks of the domain in a new epoch, beginning with
// the complete set. It replaces the previous sync.
func (c *controlClient) startSync(epoch uint64) {
	c.stopSync()
	ctx, cancel := context.WithCancel(c.ctx)
	c.mu.Lock()
	c.cancelSync = cancel
	c.mu.Unlock()
	go c.syncTasks(ctx, epoch)
}

func (c *controlClient) stopSync() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelSync != nil {
		c.cancelSync()
		c.cancelSync = nil
	}
}

// syncTasks long-polls for changed tasks and passes them to the core until ctx is
// done.
func (c *controlClient) syncTasks(ctx context.Context, epoch uint64) {
	afterIndex := uint64(0)
	for ctx.Err() == nil {
		response, err := client.Call(ctx, c.client, "SyncTasks", syncPollWait, controlpb.Control.SyncTasks, &controlpb.SyncTasksRequest{
			Domain: c.settings.Domain, Scheduler: c.settings.Name, Epoch: epoch,
			AfterIndex: afterIndex, WaitMs: syncPollWait.Milliseconds(),
		})
		if err != nil {
			c.log.Debug().Err(err).Msg("failed to sync tasks, will retry")
			sleep(ctx, syncRetryDelay)
			continue
		}
		tasks := make([]scheduler.BoundTask, 0, len(response.GetTasks()))
		for _, t := range response.GetTasks() {
			tasks = append(tasks, boundTask(t))
		}
		err = c.core.call(ctx, func(now time.Duration, core *scheduler.Core) {
			core.SyncTasks(now, epoch, tasks, response.GetComplete())
		})
		if err == nil {
			afterIndex = response.GetIndex()
		}
	}
}

// report sends task events to be recorded and passes the result to the core.
func (c *controlClient) report(a scheduler.SendReports) {
	events := make([]*controlpb.TaskEvent, 0, len(a.Events))
	for _, r := range a.Events {
		events = append(events, taskEvent(r))
	}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, reportTimeout)
		defer cancel()
		response, err := client.Call(ctx, c.client, "ReportTasks", 0, controlpb.Control.ReportTasks, &controlpb.ReportTasksRequest{
			Domain: c.settings.Domain, Scheduler: c.settings.Name, Epoch: a.Epoch, Events: events,
		})
		if err != nil {
			c.log.Debug().Err(err).Int("events", len(events)).Msg("failed to report task events")
		} else if n := len(response.GetStale()); n > 0 {
			c.log.Warn().Int("events", n).Msg("control replicas rejected stale task events")
		}
		c.metrics.countReports(ctx, events, err == nil)
		if err == nil {
			c.metrics.countEvictions(ctx, a.Events)
		}
		c.core.send(func(now time.Duration, core *scheduler.Core) { core.ReportsAnswered(now, a.Epoch, a.Batch, err == nil) })
	}()
}

// audit appends a decision to the audit trail. The trail of automatic decisions is
// best effort: records are lost while the control replicas cannot be reached.
func (c *controlClient) audit(a scheduler.RecordAudit) {
	c.metrics.countDecision(c.ctx, a.Action)
	record := &controlpb.AuditRecord{
		UnixMs: c.core.clock.wall(a.At).UnixMilli(), Actor: c.settings.Name, Action: "scheduler." + a.Action,
		Subject: a.Subject, Detail: a.Detail, Result: "done",
	}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, reportTimeout)
		defer cancel()
		_, err := client.Call(ctx, c.client, "RecordAudit", 0, controlpb.Control.RecordAudit,
			&controlpb.RecordAuditRequest{Records: []*controlpb.AuditRecord{record}})
		if err != nil {
			c.log.Debug().Err(err).Str("action", a.Action).Msg("failed to append audit record")
		}
	}()
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
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
