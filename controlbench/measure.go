package controlbench

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"geraniumwall/config"
	"geraniumwall/control/client"
	"geraniumwall/rpc/controlpb"
)

const (
	longestCall = 60 * time.Second
	domain      = "d0"
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
	printUsage("at rest", before, after, restTime)
	return nil
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

func printLatency(name string, h *hdrhistogram.Histogram) {
	fmt.Printf("%s: p50 %.2f ms, p99 %.2f ms, max %.2f ms, %d calls\n", name,
		float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000, float64(h.Max())/1000, h.TotalCount())
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
	printLatency("commit, one client", h)
	return nil
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
	fmt.Printf("commits: %.0f per second\n", float64(h.TotalCount())/rateTime.Seconds())
	printLatency(fmt.Sprintf("commit, %d clients", rateClients), h)
	return err
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
	printLatency("submit at the target rate", h)
	fmt.Printf("outcomes: %.0f per second\n", float64(s.ended)/took.Seconds())
	printUsage("at the target rate", before, after, took)
	return nil
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
	printLatency("failover, kill to next commit", h)
	return nil
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
	return c.restart(fmt.Sprintf("restart after %d configuration changes", manyChanges))
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
	return c.restart(fmt.Sprintf("restart after %d records", manyRecords))
}

// restart kills a follower and prints the time until it has applied what the
// leader had committed.
func (c *cluster) restart(name string) error {
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
			fmt.Printf("%s: %v\n", name, time.Since(begin).Round(time.Millisecond))
			return nil
		}
		time.Sleep(poll)
	}
	return fmt.Errorf("%s: not caught up within %v", name, startWait)
}
