package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkAcquireRelease measures the routing cost of one request.
func BenchmarkAcquireRelease(b *testing.B) {
	for _, n := range []int{50, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := newTestTable(newGrants("home", n, 8)...)
			now := time.Duration(0)
			b.ReportAllocs()
			for b.Loop() {
				now += time.Microsecond
				d := t.Acquire(Request{Service: "a", Deadline: now + time.Second}, now)
				t.Release(d.Ticket, ResultOK, now)
			}
		})
	}
}

// BenchmarkApply measures applying a set of grants, which blocks requests.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{50, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := NewTable("home", rand.NewPCG(1, 1))
			t.Configure([]ServiceConfig{{Name: "a", MaxQueue: 10}}, 10, 0)
			grants := newGrants("home", n, 8)
			b.ReportAllocs()
			for b.Loop() {
				t.Apply(grants, 0)
			}
		})
	}
}
