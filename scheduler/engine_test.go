package scheduler

import (
	"testing"

	"geraniumwall/policy"
	"geraniumwall/policy/engine"
)

// TestRandomRunsWithEngine runs the core with the engine of the daemon. It guards
// against tasks that the combination of both never starts or never ends.
func TestRandomRunsWithEngine(t *testing.T) {
	useEngine(t)
	checkRandomRuns(t, fixedSeed, randomChecks)
}

// TestSoakRandomRunsWithEngine searches for new failing seeds.
func TestSoakRandomRunsWithEngine(t *testing.T) {
	useEngine(t)
	soak(t)
}

func useEngine(t *testing.T) {
	before := newEngine
	newEngine = func() policy.Engine { return engine.New(engineSeed) }
	t.Cleanup(func() { newEngine = before })
}

const engineSeed = 7
