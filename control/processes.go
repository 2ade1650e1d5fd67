package control

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"geraniumwall/rpc/controlpb"
)

// processForgotten is the silence after which a process is no longer listed. It
// is longer than a configuration poll.
const processForgotten = time.Minute

// reportDelay bounds the time by which a forwarded report looks younger than it
// is: a report of an older version within it comes from before the newer one.
const reportDelay = 2 * time.Second

type processReport struct {
	kind    string
	domain  string
	version uint64
	seen    time.Duration
}

// processTable records which process has which configuration version in force.
type processTable struct {
	mu      sync.Mutex
	reports map[string]processReport
}

func newProcessTable() *processTable { return &processTable{reports: map[string]processReport{}} }

// record notes that the process had the version at the time.
func (t *processTable) record(seen time.Duration, process, kind, domain string, version uint64) {
	if process == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	before, known := t.reports[process]
	if known && (before.seen > seen || version < before.version && seen-before.seen < reportDelay) {
		return
	}
	t.reports[process] = processReport{kind: kind, domain: domain, version: version, seen: seen}
}

// merge takes in what another replica saw.
func (t *processTable) merge(now time.Duration, reports []*controlpb.ProcessStatus) {
	for _, p := range reports {
		age := time.Duration(p.GetSeenMsAgo()) * time.Millisecond
		t.record(now-age, p.GetProcess(), p.GetKind(), p.GetDomain(), p.GetConfigVersion())
	}
}

// list returns the processes seen lately, in order of name.
func (t *processTable) list(now time.Duration) []*controlpb.ProcessStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*controlpb.ProcessStatus
	for name, r := range t.reports {
		if now-r.seen > processForgotten {
			delete(t.reports, name)
			continue
		}
		list = append(list, &controlpb.ProcessStatus{
			Process: name, Kind: r.kind, Domain: r.domain,
			ConfigVersion: r.version, SeenMsAgo: (now - r.seen).Milliseconds(),
		})
	}
	slices.SortFunc(list, func(a, b *controlpb.ProcessStatus) int {
		return cmp.Compare(a.GetProcess(), b.GetProcess())
	})
	return list
}
