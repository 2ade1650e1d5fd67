package e2e_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/config"
)

const (
	configChanges = 20
	// inForceTarget is the time from accepted to in force everywhere at today's size.
	inForceTarget = 2 * time.Second
)

// Each accepted configuration must be in force on every process within the
// target, as the processes themselves report it.
func TestConfigurationInForce(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), faultTimeout)
	defer cancel()
	f, err := newFleet(t.TempDir(), smallLayout())
	g.Expect(err).NotTo(HaveOccurred())
	defer f.killAll()
	g.Expect(f.start(ctx)).To(Succeed())
	g.Expect(f.applyExample()).To(Succeed())
	current, err := f.client.Config(ctx, 0)
	g.Expect(err).NotTo(HaveOccurred())
	c, err := config.Parse(current.Content)
	g.Expect(err).NotTo(HaveOccurred())
	processes := 2*len(f.domains) + len(f.gatewayAddresses())
	var times []time.Duration
	for i := range configChanges {
		c.Policy.EvictionsPerMinute = 10 + i
		document, err := config.Marshal(c)
		g.Expect(err).NotTo(HaveOccurred())
		result, err := f.client.Apply(ctx, current.Version+uint64(i), fmt.Sprintf("change-%d", i), "", document)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Accepted).To(BeTrue())
		accepted := time.Now()
		g.Eventually(func() int { return f.reporting(ctx, result.Version) }).
			WithTimeout(5*inForceTarget).WithPolling(20*time.Millisecond).Should(BeNumerically(">=", processes), "version %d", result.Version)
		times = append(times, time.Since(accepted))
	}
	slices.Sort(times)
	t.Logf("accepted to in force on %d processes: p50 %v, p99 %v, n %d", processes, quantile(times, 0.5), quantile(times, 0.99), len(times))
	g.Expect(times[len(times)-1]).To(BeNumerically("<", inForceTarget))
}

// reporting counts the gateways and schedulers that report at least a version.
func (f *fleet) reporting(ctx context.Context, version uint64) int {
	status, err := f.client.Status(ctx)
	if err != nil {
		return 0
	}
	n := 0
	for _, p := range status.Control.GetProcesses() {
		if p.GetConfigVersion() >= version {
			n++
		}
	}
	return n
}
