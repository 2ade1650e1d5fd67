package engine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/config"
	"geraniumwall/policy"
	"geraniumwall/policy/engine"
	"geraniumwall/workerapi"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine")
}

func cores(n, gigabytes int64) workerapi.Resources {
	return workerapi.Resources{CPUMillis: 1000 * n, MemoryMB: 1024 * gigabytes}
}

// addWorkers adds n workers with 32 cores, 8 of them reserved for services, four to a
// rack, at time 0.
func addWorkers(e *engine.Engine, n int, services ...string) {
	for i := range n {
		e.UpsertWorker(0, policy.Worker{
			ID: fmt.Sprintf("w%02d", i), Domain: "d", Rack: fmt.Sprintf("r%d", i/4),
			Capacity: cores(32, 125), Reserved: cores(8, 16), Services: services, Accepting: true,
		})
	}
}

func batchTask(id string, size workerapi.Resources) policy.Task {
	return policy.Task{ID: id, Team: "t", Job: "j", Priority: config.Batch, Size: size, Expected: time.Minute}
}

// startAll starts all tasks that the engine proposes and returns the worker of each.
func startAll(e *engine.Engine, now time.Duration, tasks map[string]policy.Task) map[string]string {
	placements, _ := e.ProposeStarts(now, 1000)
	on := map[string]string{}
	for _, p := range placements {
		t := tasks[p.Task]
		t.Size = p.Size
		e.Started(now, t, p.Worker)
		on[p.Task] = p.Worker
	}
	return on
}
