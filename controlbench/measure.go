package controlbench

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"geraniumwall/config"
	"geraniumwall/control/client"
	"geraniumwall/load"
	"geraniumwall/rpc/controlpb"
)

const (
	longestCall = 60 * time.Second
	domain      = "d0"
	// Aims of docs/design.md, section 7.
	aimFailoverMS = 2000
	aimRestartMS  = 1000
)

func measureRest(_ context.Context, c *cluster) error {
	before, err := c.usage()
	if err != nil {
		return err
	}
	time.Sleep(restTime)
	after, err := c.usage()
	if err != nil {
		return err
	}
	return c.print(usages("rest", before, after, restTime)...)
}

func record(ctx context.Context, c *cluster, n int) error {
	_, err := client.Call(ctx, c.client, "RecordAudit", 0, controlpb.Control.RecordAudit, &controlpb.RecordAuditRequest{
		Records: []*controlpb.AuditRecord{{Actor: "bench", Action: "record", Subject: fmt.Sprint(n)}},
	})
	return err
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestCall.Microseconds(), 3)
}

// latencies are p50, p99 and the longest of a histogram in microseconds.
func latencies(name string, h *hdrhistogram.Histogram) []load.Measurement {
	var list []load.Measurement
	for suffix, us := range map[string]int64{"p50": h.ValueAtQuantile(50), "p99": h.ValueAtQuantile(99), "max": h.Max()} {
		list = append(list, load.Measurement{
			Name: name + "_" + suffix, Value: float64(us) / float64(time.Millisecond/time.Microsecond), Unit: "ms", N: h.TotalCount(),
		})
	}
	slices.SortFunc(list, func(a, b load.Measurement) int { return cmp.Compare(a.Value, b.Value) })
	return list
}

func measureLatency(ctx context.Context, c *cluster) error {
	h := newHistogram()
	for n := range latencyCalls {
		begin := time.Now()
		if err := record(ctx, c, n); err != nil {
			return err
		}
		if err := h.RecordValue(time.Since(begin).Microseconds()); err != nil {
			return err
		}
	}
	return c.print(latencies("control_commit_1_client", h)...)
}

func measureRate(ctx context.Context, c *cluster) error {
	h := newHistogram()
	var mu sync.Mutex
	deadline := time.Now().Add(rateTime)
	err := parallel(func(int) error {
		for time.Now().Before(deadline) {
			begin := time.Now()
			if err := record(ctx, c, 0); err != nil {
				return err
			}
			mu.Lock()
			_ = h.RecordValue(time.Since(begin).Microseconds())
			mu.Unlock()
		}
		return nil
	})
	if err != nil {
		return err
	}
	rate := load.Measurement{Name: "control_commits", Value: float64(h.TotalCount()) / rateTime.Seconds(), Unit: "commits/s", N: h.TotalCount()}
	return c.print(append(latencies(fmt.Sprintf("control_commit_%d_clients", rateClients), h), rate)...)
}

// parallel runs f in every client and returns the first error.
func parallel(f func(worker int) error) error {
	var group sync.WaitGroup
	failed := make(chan error, rateClients)
	for worker := range rateClients {
		group.Add(1)
		go func() {
			defer group.Done()
			if err := f(worker); err != nil {
				failed <- err
			}
		}()
	}
	group.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// measureLoad accepts, binds and ends tasks at the target rate, with a scheduler
// that renews its lease and reports in batches.
func measureLoad(ctx context.Context, c *cluster) error {
	s := &stubScheduler{c: c}
	if err := s.become(ctx); err != nil {
		return err
	}
	before, err := c.usage()
	if err != nil {
		return err
	}
	h := newHistogram()
	begin := time.Now()
	batch := outcomeRate / reportsPerSec
	for n := 0; time.Since(begin) < loadTime; n++ {
		if err := submit(ctx, c, n, batch, h); err != nil {
			return err
		}
		if err := s.step(ctx); err != nil {
			return err
		}
		time.Sleep(time.Until(begin.Add(time.Duration(n+1) * time.Second / reportsPerSec)))
	}
	took := time.Since(begin)
	after, err := c.usage()
	if err != nil {
		return err
	}
	ended := int64(s.ended)
	rate := load.Measurement{Name: "control_outcomes", Value: float64(ended) / took.Seconds(), Unit: "outcomes/s", N: ended}
	list := append(latencies("control_submit_target_rate", h), rate.Against(outcomeRate))
	return c.print(append(list, usages("target_rate", before, after, took)...)...)
}

// submit sends tasks one by one, as gateways do, but at once.
func submit(ctx context.Context, c *cluster, round, count int, h *hdrhistogram.Histogram) error {
	var group sync.WaitGroup
	var mu sync.Mutex
	var failure atomic.Value
	for i := range count {
		group.Add(1)
		go func() {
			defer group.Done()
			begin := time.Now()
			_, err := client.Call(ctx, c.client, "SubmitTasks", 0, controlpb.Control.SubmitTasks, &controlpb.SubmitTasksRequest{
				Tasks: []*controlpb.TaskSpec{{
					Caller: "bench", IdempotencyKey: fmt.Sprintf("%d.%d", round, i), Job: "cut", Payload: make([]byte, 200),
					Resources: &controlpb.Resources{CpuMillis: 1},
				}},
			})
			if err != nil {
				failure.Store(err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			_ = h.RecordValue(time.Since(begin).Microseconds())
		}()
	}
	group.Wait()
	if err, failed := failure.Load().(error); failed {
		return err
	}
	return nil
}

func measureFailover(ctx context.Context, c *cluster) error {
	h := newHistogram()
	for n := range failovers {
		leader, err := c.waitLeader()
		if err != nil {
			return err
		}
		begin := time.Now()
		if err := c.kill(leader); err != nil {
			return err
		}
		bounded, cancel := context.WithTimeout(ctx, startWait)
		err = record(bounded, c, n)
		cancel()
		if err != nil {
			return err
		}
		_ = h.RecordValue(time.Since(begin).Microseconds())
		if err := c.start(leader); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
	}
	list := latencies("control_failover", h)
	for i := range list {
		list[i] = list[i].Against(aimFailoverMS)
	}
	return c.print(list...)
}

// measureChanges applies many configurations and restarts a replica.
func measureChanges(ctx context.Context, c *cluster) error {
	for n := range manyChanges {
		document, err := config.Marshal(config.Config{
			Deployment: "bench", Domains: []string{domain},
			Teams: []config.Team{{Name: "team", Weight: 1 + n, Quota: config.Resources{CPUMillis: 1000}}},
		})
		if err != nil {
			return err
		}
		_, err = client.Call(ctx, c.client, "ApplyConfig", 0, controlpb.Control.ApplyConfig, &controlpb.ApplyConfigRequest{
			ChangeId: fmt.Sprint(n), BaseVersion: uint64(n), Author: "bench", Content: document,
		})
		if err != nil {
			return err
		}
	}
	return c.restart(fmt.Sprintf("control_restart_%d_changes", manyChanges), manyChanges)
}

func measureRestart(ctx context.Context, c *cluster) error {
	err := parallel(func(int) error {
		for n := range manyRecords / rateClients {
			if err := record(ctx, c, n); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	return c.restart(fmt.Sprintf("control_restart_%d_records", manyRecords), manyRecords)
}

// restart kills a follower and prints the time until it has applied what the
// leader had committed.
func (c *cluster) restart(name string, n int64) error {
	leader, err := c.waitLeader()
	if err != nil {
		return err
	}
	s, err := c.status(leader)
	if err != nil {
		return err
	}
	follower := (leader + 1) % replicas
	if err := c.kill(follower); err != nil {
		return err
	}
	begin := time.Now()
	if err := c.start(follower); err != nil {
		return err
	}
	for time.Since(begin) < startWait {
		if applied, err := c.applied(follower); err == nil && applied >= s.GetCommitIndex() {
			took := load.Measurement{Name: name, Value: float64(time.Since(begin).Milliseconds()), Unit: "ms", N: n}
			return c.print(took.Against(aimRestartMS))
		}
		time.Sleep(poll)
	}
	return fmt.Errorf("%s: not caught up within %v", name, startWait)
}
