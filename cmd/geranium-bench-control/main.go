// Command geranium-bench-control measures three control replicas on this machine:
// commit latency and rate, failover, restart, and the load at rest and at the
// target rate of task outcomes. It starts the geranium-control binary that it is
// given.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
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

func main() {
	binary := flag.String("binary", "bin/geranium-control", "path of geranium-control")
	dir := flag.String("dir", "", "empty directory for data and settings; a temporary one if empty")
	flag.Parse()
	if err := run(*binary, *dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(binary, dir string) error {
	if dir == "" {
		temporary, err := os.MkdirTemp("", "geranium-bench-control")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(temporary) }()
		dir = temporary
	}
	c, err := startCluster(binary, dir)
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
