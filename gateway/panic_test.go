package gateway

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// endWithin is the time after which the child counts as still running.
const endWithin = 10 * time.Second

// breakInvariant lets the owner fail on a gateway that does not exist.
func breakInvariant() { newOwner(nil).send(tick{}) }

// TestEndOnPanic guards against a process that goes on after a broken invariant,
// because the actor library recovered the panic, or that ends without saying why.
func TestEndOnPanic(t *testing.T) {
	const variable = "GERANIUM_TEST_END_ON_PANIC"
	if os.Getenv(variable) != "" {
		breakInvariant()
		time.Sleep(endWithin)
		os.Exit(0)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*endWithin)
	defer cancel()
	child := exec.CommandContext(ctx, os.Args[0], "-test.run=^TestEndOnPanic$")
	child.Env = append(os.Environ(), variable+"=1")
	output, err := child.CombinedOutput()
	var ended *exec.ExitError
	g := NewWithT(t)
	g.Expect(errors.As(err, &ended)).To(BeTrue(), "%v: %s", err, output)
	g.Expect(ended.ExitCode()).To(Equal(2), "%s", output)
	g.Expect(string(output)).To(ContainSubstring("nil pointer dereference"))
}
