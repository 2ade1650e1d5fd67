package wal_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"
)

var clusterSeed = flag.Uint64("cluster.seed", uint64(time.Now().UnixNano()), "the first seed that TestSoakCluster runs")

// runCluster returns the broken invariant of a seed. Once the faults end, the
// members have 10 s to agree.
func runCluster(seed uint64) (c *diskCluster, err error) {
	defer func() {
		if broken := recover(); broken != nil {
			err = fmt.Errorf("%v; replay: GERANIUM_SOAK_SECONDS=1 go test ./wal -run SoakCluster -cluster.seed=%d", broken, seed)
		}
	}()
	c = newDiskCluster(seed)
	for range 3000 {
		c.step()
	}
	c.calm, c.cut = true, 0
	for _, m := range c.members {
		m.disk.failAt = -1
	}
	for range 1000 {
		c.step()
		agreed := func(m *member) bool {
			return m.node != nil && m.node.Status().Leader != 0 && m.index+1 == uint64(len(c.committed))
		}
		if agreed(c.members[0]) && agreed(c.members[1]) && agreed(c.members[2]) {
			return c, nil
		}
	}
	panic("no agreement after the faults ended")
}

// TestCluster guards against faults that need the protocol and real storage: a
// promise sent before it is durable, or a recovery that drops or keeps too much.
func TestCluster(t *testing.T) {
	crashes := map[string]int{}
	for seed := uint64(1); seed <= 12; seed++ {
		c, err := runCluster(seed)
		if err != nil {
			t.Fatal(err)
		}
		for kind, count := range c.crashes {
			crashes[kind] += count
		}
	}
	for _, kind := range []string{"save: write, 0", "save: write, 4", "save: sync, 0", "save: sync, 1", "after the sync: , 0", "snapshot: rename, 0", "snapshot: rename, 4"} {
		if crashes[kind+"/4 kept"] == 0 {
			t.Errorf("no crash at: %s/4 kept", kind)
		}
	}
}

// TestSoakCluster runs new seeds and names each one that fails.
func TestSoakCluster(t *testing.T) {
	limit, err := time.ParseDuration(os.Getenv("GERANIUM_SOAK_SECONDS") + "s")
	if err != nil {
		t.Skip("GERANIUM_SOAK_SECONDS is not set")
	}
	end, runs := time.Now().Add(limit), 0
	for ; time.Now().Before(end); runs++ {
		if _, err := runCluster(*clusterSeed + uint64(runs)); err != nil {
			t.Error(err)
		}
	}
	t.Logf("seeds run: %d", runs)
}
