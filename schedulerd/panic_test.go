package schedulerd

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/scheduler"
)

// exitTimeout bounds the time that the child process may take to exit.
const exitTimeout = 10 * time.Second

// breakInvariant panics in a call on the core actor.
func breakInvariant() {
	core := spawnCore(&coreActor{clock: clock{start: time.Now()}, perform: func(scheduler.Action) {}})
	core.send(func(time.Duration, *scheduler.Core) { panic("broken invariant of the test") })
}

// TestEndOnPanic guards against a process that keeps running after a broken invariant,
// because the actor library recovers the panic, or that exits without printing the
// reason.
func TestEndOnPanic(t *testing.T) {
	const variable = "GERANIUM_TEST_END_ON_PANIC"
	if os.Getenv(variable) != "" {
		breakInvariant()
		time.Sleep(exitTimeout)
		os.Exit(0)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*exitTimeout)
	defer cancel()
	child := exec.CommandContext(ctx, os.Args[0], "-test.run=^TestEndOnPanic$")
	child.Env = append(os.Environ(), variable+"=1")
	output, err := child.CombinedOutput()
	var ended *exec.ExitError
	g := NewWithT(t)
	g.Expect(errors.As(err, &ended)).To(BeTrue(), "%v: %s", err, output)
	g.Expect(ended.ExitCode()).To(Equal(2), "%s", output)
	g.Expect(string(output)).To(ContainSubstring("broken invariant of the test"))
}
