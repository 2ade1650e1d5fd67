// Package controlbench measures three control replicas on this machine:
// commit latency and rate, failover, restart, and the load at rest and at the
// target rate of task outcomes.
package controlbench

import (
	"context"
	"io"
	"time"
)

const (
	restTime      = 10 * time.Second
	loadTime      = 10 * time.Second
	rateTime      = 5 * time.Second
	latencyCalls  = 2000
	rateClients   = 64
	failovers     = 5
	manyRecords   = 100_000
	manyChanges   = 400
	outcomeRate   = 310
	reportsPerSec = 10
)

// Processes starts and ends the replicas, which are counted from 0.
type Processes interface {
	Start(i int, settings string) error
	// Kill ends a replica without notice and waits for its end.
	Kill(i int) error
	PID(i int) int
}

// Run starts three replicas with data and settings under dir and writes each figure
// to out as a JSON line, see load.Measurement.
func Run(dir string, p Processes, out io.Writer) error {
	c, err := startCluster(p, dir, out)
	if err != nil {
		return err
	}
	defer c.stop()
	ctx := context.Background()
	for _, measure := range []func(context.Context, *cluster) error{
		measureRest, measureLatency, measureRate, measureLoad, measureFailover, measureChanges, measureRestart,
	} {
		if err := measure(ctx, c); err != nil {
			return err
		}
	}
	return nil
}
