package placement

import (
	"fmt"
	"math/bits"
	"slices"
	"time"

	"geraniumwall/workerapi"
)

// Bounds of one search. The number of candidates from one bucket is limited so that
// the score compares hosts with little and with much free capacity.
const (
	maxCandidates      = 16
	maxPerBucket       = 6
	maxProbes          = 128
	maxProbesPerBucket = 32
)

// Request is a task to place.
type Request struct {
	Task string
	Job  string
	// Need is the size to reserve.
	Need workerapi.Resources
	// Declared is the declared size, JobNumber the number of the job in the
	// interference model.
	Declared  workerapi.Resources
	JobNumber int
	// Apart holds the services that must not share a host with the job.
	Apart map[string]bool
	// Avoid holds the hosts on which the task has failed.
	Avoid map[string]bool
}

// admits reports whether the request fits on the host. The buckets only narrow the
// search.
func (r *Request) admits(h *Host) bool {
	if !r.Need.Fits(h.Room()) {
		return false
	}
	return r.Allowed(h)
}

// Allowed reports whether the job may share the host with the services on it.
func (r *Request) Allowed(h *Host) bool { return len(r.Apart) == 0 || !h.runsAny(r.Apart) }

// search collects candidates for one request.
type search struct {
	index      *Index
	request    *Request
	found      []*Host
	probes     int
	probeLimit int
}

// candidates returns hosts on which the request fits, from the buckets with the
// least free capacity first. Requests without accelerators use hosts with free
// accelerators only if they fit on no other.
func (x *Index) candidates(r *Request, found []*Host) []*Host {
	s := search{index: x, request: r, found: found[:0], probeLimit: maxProbes}
	if r.Need.Accelerators == 0 {
		s.searchGrid(gridPlain)
	}
	if len(s.found) == 0 {
		s.probeLimit = s.probes + maxProbes
		s.searchGrid(gridAccelerated)
	}
	return s.found
}

func (s *search) searchGrid(grid int) {
	minCPU := level(s.request.Need.CPUMillis, cpuLevelMillis)
	minMemory := level(s.request.Need.MemoryMB, memoryLevelMB)
	for cpu := minCPU; cpu < levelCount && !s.done(); cpu++ {
		row := s.index.occupied[grid][cpu] >> minMemory << minMemory
		for row != 0 && !s.done() {
			memory := bits.TrailingZeros16(row)
			row &= row - 1
			s.searchBucket(s.index.buckets[grid][cpu][memory])
		}
	}
}

func (s *search) done() bool { return len(s.found) >= maxCandidates || s.probes >= s.probeLimit }

// searchBucket probes the hosts of a bucket from a random start, so that load is
// spread over equal hosts.
func (s *search) searchBucket(hosts []*Host) {
	start := s.index.random.IntN(len(hosts))
	accepted := 0
	for i := 0; i < len(hosts) && i < maxProbesPerBucket; i++ {
		h := hosts[(start+i)%len(hosts)]
		s.probes++
		if s.request.admits(h) {
			s.found = append(s.found, h)
			accepted++
		}
		if s.done() || accepted >= maxPerBucket {
			return
		}
	}
}

// Possible reports whether the request would fit on an empty host of the domain,
// including hosts that left in the last ten minutes, and the reason if it wouldn't.
func (x *Index) Possible(now time.Duration, r *Request) (bool, string) {
	largeEnough := false
	var largestOffered workerapi.Resources
	for p, usage := range x.profiles {
		if usage.hostCount == 0 && now-usage.lastSeen > profileRetention {
			delete(x.profiles, p)
			continue
		}
		largestOffered = maxResources(largestOffered, p.offered)
		if !r.Need.Fits(p.offered) {
			continue
		}
		largeEnough = true
		if !slices.ContainsFunc(usage.services, func(s string) bool { return r.Apart[s] }) {
			return true, ""
		}
	}
	if largeEnough {
		return false, "every worker large enough offers a service that must not share a host with the job; change apart in the configuration"
	}
	return false, fmt.Sprintf("needs %s, but the largest amounts that workers of the domain offer are %s; reduce the size of the job or add larger workers",
		Amounts(r.Need), Amounts(largestOffered))
}

// maxResources returns the larger of each amount.
func maxResources(a, b workerapi.Resources) workerapi.Resources {
	return workerapi.Resources{
		CPUMillis:    max(a.CPUMillis, b.CPUMillis),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// Amounts formats resources with their units for messages.
func Amounts(r workerapi.Resources) string {
	return fmt.Sprintf("%d millicores, %d MB, %d accelerators", r.CPUMillis, r.MemoryMB, r.Accelerators)
}
