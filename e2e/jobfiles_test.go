package e2e_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/platform/standin"
)

const (
	fewFiles = 160
	// manyWorkers need more connections than fewFiles allows: each one is called by the
	// leader and reports to it.
	manyWorkers  = 70
	servedWithin = 12 * time.Second
)

// TestShortageOfFilesEndsNoReplica guards against a replica that ends, or a worker that is
// never served, when a fleet needs more connections than the process may open.
func TestShortageOfFilesEndsNoReplica(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f, err := newJobFleet(t.TempDir(), 3, 1, manyWorkers, 0)
	g.Expect(err).NotTo(HaveOccurred())
	for _, r := range f.replicas {
		r.maxFiles = fewFiles
	}
	s, _ := startSoak(t, g, 1, f)
	c := newJobCaller(f, 1, 0)
	id := fmt.Sprintf("%016x", 1)
	step := standin.Step{Count: manyWorkers, MilliCPU: jobWorkerCPU, Lasting: true}
	g.Expect(c.submit(id, kindLasting, c.offer(id, standin.Payload{}, []standin.Step{step}))).To(BeTrue())
	s.await(g, "a task on each worker", servedWithin, func() bool { return f.workersInUse() == manyWorkers })
	s.pass(g, jobLease+time.Second)
	g.Expect(f.workersInUse()).To(Equal(manyWorkers), "a worker was not called before its lease ended")
	c.cancel(id)
	g.Expect(f.record.Broken()).To(BeEmpty(), s.history())
	terms := 0
	for _, r := range f.replicas {
		g.Expect(r.starts).To(Equal(1), "%s has ended by itself", r.name)
		log, err := os.ReadFile(r.logFile)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(strings.Count(string(log), "too many open files")).To(BeZero(), r.name)
		terms += strings.Count(string(log), "dispatch started")
	}
	g.Expect(terms).To(Equal(1), "a leader has lost its lease")
}

// workersInUse counts the workers on which tasks run.
func (f *jobFleet) workersInUse() int {
	count := 0
	for _, w := range f.workers {
		if w.InUse() > 0 {
			count++
		}
	}
	return count
}
