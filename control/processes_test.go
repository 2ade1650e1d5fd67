package control

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/rpc/controlpb"
)

// TestDelayedReport guards against a forwarded report of an older version that
// looks younger than the direct report of the newer one, because its age does not
// count the way between the replicas. It hid a version that was in force until
// the next poll, 10 s later.
func TestDelayedReport(t *testing.T) {
	g := NewWithT(t)
	table := newProcessTable()
	table.record(100*time.Millisecond, "gateway-1", "gateway", "bern-a", 1)
	table.merge(110*time.Millisecond, []*controlpb.ProcessStatus{{Process: "gateway-1", ConfigVersion: 0, SeenMsAgo: 5}})
	g.Expect(table.list(time.Second)[0].GetConfigVersion()).To(BeEquivalentTo(1))

	table.record(10*time.Second, "gateway-1", "gateway", "bern-a", 0)
	g.Expect(table.list(10 * time.Second)[0].GetConfigVersion()).To(BeEquivalentTo(0), "a restarted process reports what it has")
}
