package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"geraniumwall/daemon"
	"geraniumwall/load"
)

const (
	// idleSettle lets a process come to rest before its memory is read.
	idleSettle     = 3 * time.Second
	idleAimMB      = 64
	kilobytesPerMB = 1024
	mallocsMetric  = "go_memstats_mallocs_total"
	// processorMetric is processor time in seconds.
	processorMetric = "process_cpu_seconds_total"
	microsPerSecond = 1e6
)

// idleMemory reads the resident memory of the processes while nothing is sent.
func (c *measureCommand) idleMemory(ctx context.Context) ([]load.Measurement, error) {
	if c.pids == "" {
		return nil, nil
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(idleSettle):
	}
	var lines []load.Measurement
	for item := range strings.SplitSeq(c.pids, ",") {
		name, pid, _ := strings.Cut(item, "=")
		kilobytes, err := residentKB(pid)
		if err != nil {
			return nil, fmt.Errorf("memory of process %q: %w", item, err)
		}
		mb := float64(kilobytes) / kilobytesPerMB
		lines = append(lines, load.Measurement{
			Name: "idle_memory_" + name, Value: mb, Unit: "MB", Baseline: idleAimMB, Ratio: mb / idleAimMB, N: 1,
		})
	}
	return lines, nil
}

func residentKB(pid string) (int64, error) {
	number, err := strconv.Atoi(pid)
	if err != nil {
		return 0, fmt.Errorf("process id %q: %w", pid, err)
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", number))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			return strconv.ParseInt(strings.Fields(value)[0], 10, 64)
		}
	}
	return 0, errors.New("the process has no resident memory")
}

// allocations counts the heap allocations of the gateway for one request, without
// those of a pause of the same length in which nothing is sent.
func (c *measureCommand) allocations(ctx context.Context) ([]load.Measurement, error) {
	sender := c.throughGateway(1)
	before, err := c.metric(ctx, mallocsMetric)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	for i := range allocationRequests {
		sender.Send(ctx, load.Request{Sequence: uint64(i), Kind: benchKind()})
	}
	took := time.Since(start)
	busy, err := c.metric(ctx, mallocsMetric)
	if err != nil {
		return nil, err
	}
	time.Sleep(took)
	idle, err := c.metric(ctx, mallocsMetric)
	if err != nil {
		return nil, err
	}
	each := ((busy - before) - (idle - busy)) / allocationRequests
	return []load.Measurement{{Name: "gateway_allocations_per_request", Value: each, Unit: "allocations", N: allocationRequests}}, nil
}

// metric reads one figure of the gateway's metrics.
func (c *measureCommand) metric(ctx context.Context, name string) (float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.metrics+daemon.PathMetrics, nil)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return findMetric(response.Body, name)
}

func findMetric(r io.Reader, name string) (float64, error) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if value, found := strings.CutPrefix(lines.Text(), name+" "); found {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, fmt.Errorf("metric %s is not served: %w", name, errors.Join(lines.Err(), io.EOF))
}
