package placement

import (
	"fmt"
	"math/bits"
	"slices"
	"time"

	"geraniumwall/workerapi"
)

// Bounds of one search. Candidates of several cells are compared, so that the
// score chooses between tight and roomy hosts.
const (
	maxCandidates    = 16
	maxPerCell       = 6
	maxProbes        = 128
	maxProbesPerCell = 32
)

// Request is a task to place.
type Request struct {
	Task string
	Job  string
	Need workerapi.Resources
	// Declared is the size without corrections, JobNumber the job in the
	// interference model.
	Declared  workerapi.Resources
	JobNumber int
	// Apart are the services that must not share a host with the job.
	Apart map[string]bool
	// Avoid are hosts on which the task failed before.
	Avoid map[string]bool
}

// admits checks the hard conditions that the cells don't cover.
func (r *Request) admits(h *Host) bool {
	if !r.Need.Fits(h.Room()) {
		return false
	}
	return r.Allowed(h)
}

// Allowed reports whether the job may share the host with its services.
func (r *Request) Allowed(h *Host) bool { return len(r.Apart) == 0 || !h.offers(r.Apart) }

// search collects candidates for one request.
type search struct {
	index   *Index
	request *Request
	found   []*Host
	probes  int
	budget  int
}

// candidates returns hosts with room, tightest cells first. Tasks without
// accelerators use hosts with free accelerators only when no other has room.
func (x *Index) candidates(r *Request, found []*Host) []*Host {
	s := search{index: x, request: r, found: found[:0], budget: maxProbes}
	if r.Need.Accelerators == 0 {
		s.grid(gridPlain)
	}
	if len(s.found) == 0 {
		s.budget = s.probes + maxProbes
		s.grid(gridAccelerated)
	}
	return s.found
}

func (s *search) grid(grid int) {
	from := level(s.request.Need.CPUMillis, cpuLevelMillis)
	memory := level(s.request.Need.MemoryMB, memoryLevelMB)
	for cpu := from; cpu < levels && !s.over(); cpu++ {
		row := s.index.filled[grid][cpu] >> memory << memory
		for row != 0 && !s.over() {
			column := bits.TrailingZeros16(row)
			row &= row - 1
			s.cell(s.index.cells[grid][cpu][column])
		}
	}
}

func (s *search) over() bool { return len(s.found) >= maxCandidates || s.probes >= s.budget }

// cell probes a cell from a random start, so that equal hosts share the load.
func (s *search) cell(hosts []*Host) {
	start := s.index.random.IntN(len(hosts))
	accepted := 0
	for i := 0; i < len(hosts) && i < maxProbesPerCell; i++ {
		h := hosts[(start+i)%len(hosts)]
		s.probes++
		if s.request.admits(h) {
			s.found = append(s.found, h)
			accepted++
		}
		if s.over() || accepted >= maxPerCell {
			return
		}
	}
}

// Possible reports whether a host of the domain, as it is or was in the last ten
// minutes, could hold the request when empty, and otherwise why not.
func (x *Index) Possible(now time.Duration, r *Request) (bool, string) {
	large := false
	var most workerapi.Resources
	for f, record := range x.forms {
		if record.hosts == 0 && now-record.lastSeen > formMemory {
			delete(x.forms, f)
			continue
		}
		most = largest(most, f.offered)
		if !r.Need.Fits(f.offered) {
			continue
		}
		large = true
		if !slices.ContainsFunc(record.services, func(s string) bool { return r.Apart[s] }) {
			return true, ""
		}
	}
	if large {
		return false, "every worker large enough offers a service that must not share a host with the job; change apart in the configuration"
	}
	return false, fmt.Sprintf("needs %s, but the largest amounts that workers of the domain offer are %s; reduce the size of the job or add larger workers",
		Amounts(r.Need), Amounts(most))
}

func largest(a, b workerapi.Resources) workerapi.Resources {
	return workerapi.Resources{
		CPUMillis:    max(a.CPUMillis, b.CPUMillis),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// Amounts writes an amount of capacity with its units.
func Amounts(r workerapi.Resources) string {
	return fmt.Sprintf("%d millicores, %d MB, %d accelerators", r.CPUMillis, r.MemoryMB, r.Accelerators)
}
