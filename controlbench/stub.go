package controlbench

import (
	"bufio"
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"geraniumwall/control/client"
	"geraniumwall/rpc/controlpb"
)

// stubScheduler ends every task as soon as it is bound.
type stubScheduler struct {
	c       *cluster
	epoch   uint64
	index   uint64
	renewed time.Time
	ended   int
}

// become renews until the scheduler is the active one.
func (s *stubScheduler) become(ctx context.Context) error {
	for begin := time.Now(); time.Since(begin) < startWait; time.Sleep(100 * time.Millisecond) {
		if err := s.renew(ctx); err != nil {
			return err
		}
		if s.epoch != 0 {
			return nil
		}
	}
	return fmt.Errorf("no appointment within %v", startWait)
}

func (s *stubScheduler) renew(ctx context.Context) error {
	room := &controlpb.Resources{CpuMillis: 1 << 30, MemoryMb: 1 << 30}
	answer, err := client.Call(ctx, s.c.client, "RenewLease", 0, controlpb.Control.RenewLease, &controlpb.RenewLeaseRequest{
		Domain: domain, Scheduler: "stub", Address: "127.0.0.1:1", Epoch: s.epoch, MayBeAppointed: true,
		Load: &controlpb.DomainLoad{Free: room, LargestFree: room, Workers: 1000},
	})
	if err != nil {
		return err
	}
	s.renewed = time.Now()
	if answer.GetRole() == controlpb.SchedulerRole_SCHEDULER_ROLE_ACTIVE {
		s.epoch = answer.GetEpoch()
	}
	return nil
}

// step renews when it is time and ends the tasks that were bound.
func (s *stubScheduler) step(ctx context.Context) error {
	if time.Since(s.renewed) > 300*time.Millisecond {
		if err := s.renew(ctx); err != nil {
			return err
		}
	}
	synced, err := client.Call(ctx, s.c.client, "SyncTasks", 0, controlpb.Control.SyncTasks, &controlpb.SyncTasksRequest{
		Domain: domain, Scheduler: "stub", Epoch: s.epoch, AfterIndex: s.index,
	})
	if err != nil {
		return err
	}
	s.index = synced.GetIndex()
	report := &controlpb.ReportTasksRequest{Domain: domain, Scheduler: "stub", Epoch: s.epoch}
	for _, t := range synced.GetTasks() {
		if t.GetState() == controlpb.TaskState_TASK_STATE_BOUND {
			report.Events = append(report.Events, &controlpb.TaskEvent{
				Id: t.GetId(), Kind: controlpb.TaskEventKind_TASK_EVENT_KIND_DONE, Attempt: t.GetAttempt(), Result: make([]byte, 100),
			})
		}
	}
	if len(report.GetEvents()) == 0 {
		return nil
	}
	s.ended += len(report.GetEvents())
	_, err = client.Call(ctx, s.c.client, "ReportTasks", 0, controlpb.Control.ReportTasks, report)
	return err
}

// applied reads the index that a replica has applied.
func (c *cluster) applied(i int) (uint64, error) {
	answer, err := c.http.Get("http://" + c.metrics[i] + "/metrics") //nolint:noctx // a local measurement
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		if line := lines.Text(); strings.HasPrefix(line, "control_applied_index") {
			value, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
			return uint64(value), err
		}
	}
	return 0, lines.Err()
}
