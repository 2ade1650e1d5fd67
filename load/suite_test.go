package load

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "load")
}

// sendFunc is a Sender made of a function.
type sendFunc func(Request) Result

func (f sendFunc) Send(_ context.Context, r Request) Result { return f(r) }

var _ = ginkgo.Describe("load", func() {
	options := Options{
		Kinds: []Kind{{Name: "a", Weight: 3, Service: "a"}, {Name: "b", Weight: 1, Job: "b"}},
		Rate:  1000, Duration: 400 * time.Millisecond, MaxInFlight: 4, Seed: 3,
	}

	ginkgo.It("counts the delay of requests that a stalled system holds back", func() {
		var first atomic.Bool
		report, err := Run(context.Background(), options, sendFunc(func(Request) Result {
			if first.CompareAndSwap(false, true) {
				time.Sleep(300 * time.Millisecond)
			}
			return Result{Outcome: "done"}
		}))
		Expect(err).NotTo(HaveOccurred())
		single := options
		single.MaxInFlight = 1
		first.Store(false)
		stalled, err := Run(context.Background(), single, sendFunc(func(Request) Result {
			if first.CompareAndSwap(false, true) {
				time.Sleep(300 * time.Millisecond)
			}
			return Result{Outcome: "done"}
		}))
		Expect(err).NotTo(HaveOccurred())
		Expect(stalled.Kinds[0].P50MS).To(BeNumerically(">", 50))
		Expect(stalled.Count("done")).To(Equal(report.Count("done")))
	})

	ginkgo.It("draws the same arrivals and mix from the same seed", func() {
		draw := func() (sequence []string) {
			quick := options
			quick.MaxInFlight = 1
			_, err := Run(context.Background(), quick, sendFunc(func(r Request) Result {
				sequence = append(sequence, r.Kind.Name)
				return Result{Outcome: "done"}
			}))
			Expect(err).NotTo(HaveOccurred())
			return sequence
		}
		a := draw()
		Expect(draw()).To(Equal(a))
		Expect(len(a)).To(BeNumerically("~", 400, 80))
		Expect(strings.Count(strings.Join(a, ""), "a")).To(BeNumerically("~", 300, 80))
	})

	ginkgo.It("refuses runs without bounds", func() {
		for _, change := range []func(*Options){
			func(o *Options) { o.Rate = MaxRate + 1 }, func(o *Options) { o.Duration = 0 },
			func(o *Options) { o.Rate, o.Duration = MaxRate, time.Hour }, func(o *Options) { o.MaxInFlight = 0 },
			func(o *Options) { o.Kinds = nil }, func(o *Options) { o.Kinds = []Kind{{Name: "x", Weight: 1}} },
		} {
			o := options
			change(&o)
			_, err := Run(context.Background(), o, nil)
			Expect(err).To(HaveOccurred())
		}
	})
})
