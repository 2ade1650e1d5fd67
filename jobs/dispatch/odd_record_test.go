package dispatch

import (
	"fmt"
	"math"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobs"
)

// oddRecords are registrations that earlier versions have put into the log.
var oddRecords = []struct {
	name   string
	change func(w *jobs.Worker)
}{
	{"the highest sequence", func(w *jobs.Worker) { w.Sequence = math.MaxInt64 }},
	{"a negative sequence", func(w *jobs.Worker) { w.Sequence = math.MinInt64 }},
	{"the highest sequence and silence", func(w *jobs.Worker) { w.Sequence, w.Silent = math.MaxInt64, true }},
	{"a far clock", func(w *jobs.Worker) { w.Sequence, w.ClockMS = math.MaxInt64, math.MaxInt64-1 }},
	{"a negative clock", func(w *jobs.Worker) { w.ClockMS = math.MinInt64 }},
	{"a late start", func(w *jobs.Worker) { w.StartedAtMS = math.MaxInt64 }},
	{"an early start", func(w *jobs.Worker) { w.StartedAtMS = math.MinInt64 }},
	{"no address", func(w *jobs.Worker) { w.HostPort = "" }},
	{"a port out of range", func(w *jobs.Worker) { w.HostPort = "w0:99999" }},
	{"a NUL in the address", func(w *jobs.Worker) { w.HostPort = "w0\x00:1" }},
	{"the address of another worker", func(w *jobs.Worker) { w.HostPort = "w1:1" }},
	{"a late start at the address of another worker", func(w *jobs.Worker) { w.StartedAtMS, w.HostPort = math.MaxInt64, "w1:1" }},
	{"a label of a megabyte", func(w *jobs.Worker) { w.Labels = []string{strings.Repeat("x", 1<<20)} }},
	{"no service", func(w *jobs.Worker) { w.Service = "" }},
	{"the highest capacity", func(w *jobs.Worker) {
		w.Capacity = jobs.Resources{MilliCPU: math.MaxInt64, MemoryMB: math.MaxInt64, GPUs: math.MaxInt64}
	}},
	{"a negative capacity", func(w *jobs.Worker) { w.Capacity = jobs.Resources{MilliCPU: math.MinInt64, MemoryMB: -1, GPUs: -1} }},
	{"an endless drain", func(w *jobs.Worker) { w.Draining, w.DrainEndsAt = true, math.MaxInt64 }},
	{"a drain that ended before all times", func(w *jobs.Worker) { w.Draining, w.DrainEndsAt = true, math.MinInt64 }},
}

// replay applies a command in the form that it has in the log, and restores a snapshot.
func (o *oddReports) replay(c jobs.Command) {
	GinkgoHelper()
	data, err := jobs.Encode([]jobs.Command{c})
	Expect(err).NotTo(HaveOccurred())
	batch, err := jobs.Decode(data)
	Expect(err).NotTo(HaveOccurred())
	o.store.Apply(batch[0])
	o.copyStore()
}

var _ = Describe("An odd registration in the log", func() {
	for _, r := range oddRecords {
		// Guards against a log or snapshot of an earlier version that stops a replica or hides
		// a worker from each leader.
		It("with "+r.name+" hides no worker", func() {
			o := newOddReports()
			record := jobs.Worker{
				Incarnation: jobs.Incarnation{Worker: o.worker.id, StartedAtMS: o.worker.startedAtMS},
				HostPort:    o.worker.address, Service: "s", Capacity: fullCapacity, Sequence: 1,
			}
			r.change(&record)
			o.replay(jobs.Command{RegisterWorker: &jobs.RegisterWorker{Worker: record, At: o.unix()}})
			foreign := record
			foreign.Worker = "foreign"
			o.replay(jobs.Command{RegisterWorker: &jobs.RegisterWorker{Worker: foreign, At: o.unix()}})
			o.startLeader()
			o.runsJob("first", recoveryTime)
			o.startLeader()
			o.runsJob("second", recoveryTime)
			o.runUntil(o.now + 20*time.Second)
			Expect(o.store.Worker("foreign")).To(BeNil(), "the worker that does not exist")
			own := o.store.Worker(o.worker.id)
			Expect(own.HostPort).To(Equal(o.worker.address))
			Expect(own.StartedAtMS).To(Equal(o.worker.startedAtMS))
			Expect(len(fmt.Sprint(own))).To(BeNumerically("<", 1000))
		})
	}
})
