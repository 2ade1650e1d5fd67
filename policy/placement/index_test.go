package placement_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"geraniumwall/policy"
	"geraniumwall/policy/placement"
	"geraniumwall/workerapi"
)

// TestChooseFindsRoom guards against an index that loses hosts or returns hosts
// without enough free capacity. The fleet is small enough to probe every host, so a
// host must be chosen if and only if one fits.
func TestChooseFindsRoom(t *testing.T) {
	if err := flag.Set("rapid.seed", "20"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		x := placement.NewIndex(rand.New(rand.NewPCG(1, 1)))
		chooser := placement.Chooser{Index: x}
		for i := range rapid.IntRange(1, 24).Draw(t, "hosts") {
			x.Upsert(0, policy.Worker{
				ID: fmt.Sprint(i), Rack: fmt.Sprint(i / 4), Accepting: rapid.Bool().Draw(t, "accepting"),
				Capacity: workerapi.Resources{
					CPUMillis: rapid.Int64Range(1000, 32_000).Draw(t, "cpu"), MemoryMB: rapid.Int64Range(1000, 125_000).Draw(t, "memory"),
					Accelerators: rapid.Int64Range(0, 2).Draw(t, "accelerators"),
				},
			})
		}
		for range rapid.IntRange(1, 80).Draw(t, "tasks") {
			r := placement.Request{Job: "j", Need: workerapi.Resources{
				CPUMillis: rapid.Int64Range(100, 9000).Draw(t, "need cpu"), MemoryMB: rapid.Int64Range(100, 30_000).Draw(t, "need memory"),
				Accelerators: rapid.Int64Range(0, 1).Draw(t, "need accelerators"),
			}}
			choice := chooser.Choose(&r, false)
			fits := false
			for _, h := range x.Hosts() {
				fits = fits || (h.Open && r.Need.Fits(h.Free))
			}
			if fits != (choice.Host != nil) {
				t.Fatalf("a host fits: %v, host chosen: %v", fits, choice.Host != nil)
			}
			if choice.Host == nil {
				continue
			}
			if !choice.Host.Open || !r.Need.Fits(choice.Host.Free) {
				t.Fatalf("chosen host %s does not accept the task or lacks capacity", choice.Host.ID)
			}
			x.Take(choice.Host, "j", r.Need)
		}
	})
}
