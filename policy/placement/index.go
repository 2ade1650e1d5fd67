package placement

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumwall/policy"
	"geraniumwall/workerapi"
)

// The index is a grid of free processors by free memory, one for hosts with free
// accelerators and one for the others. Two levels double the amount.
const (
	levels         = 16
	cpuLevelMillis = 250
	memoryLevelMB  = 512
)

// Grids of the index.
const (
	gridPlain = iota
	gridAccelerated
	grids
)

// cell is a place in the grids; a negative grid means that a host is not indexed.
type cell struct{ grid, cpu, memory int }

var noCell = cell{grid: -1}

// level is the largest level whose lower bound is at most amount.
func level(amount, unit int64) int {
	if amount < unit {
		return 0
	}
	q := uint64(amount / unit)
	n := bits.Len64(q) - 1
	half := 0
	if n > 0 {
		half = int(q>>(n-1)) & 1
	}
	return min(1+2*n+half, levels-1)
}

// Index holds the hosts of a domain. The cost of a search is bounded by the
// number of probes and does not grow with the number of hosts.
type Index struct {
	random *rand.Rand
	hosts  map[string]*Host
	cells  [grids][levels][levels][]*Host
	// filled has one bit for each memory level of a row with hosts.
	filled [grids][levels]uint16
	racks  map[string]*rack
	forms  map[form]*formRecord
	total  workerapi.Resources
	// Freed counts changes that may give room to a task that found none.
	Freed uint64
}

// rack counts the tasks of each job in a rack.
type rack struct {
	hosts int
	jobs  map[string]int
}

// NewIndex returns an empty index; random breaks ties between equal hosts.
func NewIndex(random *rand.Rand) *Index {
	return &Index{
		random: random,
		hosts:  map[string]*Host{},
		racks:  map[string]*rack{},
		forms:  map[form]*formRecord{},
	}
}

// Host returns a host or nil.
func (x *Index) Host(id string) *Host { return x.hosts[id] }

// Len is the number of hosts.
func (x *Index) Len() int { return len(x.hosts) }

// Hosts returns all hosts in order of their names.
func (x *Index) Hosts() []*Host {
	list := make([]*Host, 0, len(x.hosts))
	for _, h := range x.hosts {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b *Host) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return list
}

// Total is the capacity that all hosts offer to tasks.
func (x *Index) Total() workerapi.Resources { return x.total }

// Upsert adds a host or replaces its description; what runs on it is kept.
func (x *Index) Upsert(now time.Duration, w policy.Worker) *Host {
	h := Host{
		ID: w.ID, Rack: w.Rack, Services: slices.Clone(w.Services), Open: w.Accepting,
		Capacity: w.Capacity, Offered: w.Capacity.Minus(w.Reserved),
		Jobs: map[string]int{}, Limit: -1, cell: noCell,
	}
	h.Free = h.Offered
	if old := x.hosts[h.ID]; old != nil {
		h.Free = h.Offered.Minus(old.Offered.Minus(old.Free))
		h.Jobs, h.Running, h.Limit, h.HeldFor, h.Kept = old.Jobs, old.Running, old.Limit, old.HeldFor, old.Kept
		x.forget(now, old)
	}
	x.hosts[h.ID] = &h
	x.total = x.total.Plus(h.Offered)
	r := x.rackOf(h.Rack)
	h.rack = r
	r.hosts++
	for job, n := range h.Jobs {
		r.jobs[job] += n
	}
	record := x.forms[h.form()]
	if record == nil {
		record = &formRecord{services: h.Services}
		x.forms[h.form()] = record
	}
	record.hosts++
	record.lastSeen = now
	x.reindex(&h)
	x.Freed++
	return &h
}

// Remove forgets a host and what runs on it.
func (x *Index) Remove(now time.Duration, id string) {
	if h := x.hosts[id]; h != nil {
		x.forget(now, h)
	}
}

func (x *Index) forget(now time.Duration, h *Host) {
	x.unindex(h)
	delete(x.hosts, h.ID)
	x.total = x.total.Minus(h.Offered)
	r := h.rack
	r.hosts--
	for job, n := range h.Jobs {
		r.remove(job, n)
	}
	if r.hosts == 0 {
		delete(x.racks, h.Rack)
	}
	record := x.forms[h.form()]
	record.hosts--
	record.lastSeen = now
}

func (x *Index) rackOf(name string) *rack {
	r := x.racks[name]
	if r == nil {
		r = &rack{jobs: map[string]int{}}
		x.racks[name] = r
	}
	return r
}

func (r *rack) remove(job string, n int) {
	r.jobs[job] -= n
	if r.jobs[job] <= 0 {
		delete(r.jobs, job)
	}
}

// Take reserves capacity of a host for a task of the job. The free capacity may
// become negative when tasks are found running after a failover.
func (x *Index) Take(h *Host, job string, size workerapi.Resources) {
	h.Free = h.Free.Minus(size)
	h.Running++
	h.Jobs[job]++
	h.rack.jobs[job]++
	x.reindex(h)
}

// Give returns the capacity of a task.
func (x *Index) Give(h *Host, job string, size workerapi.Resources) {
	if h.Jobs[job] == 0 {
		panic("placement: a task of job " + job + " ended on " + h.ID + " where none runs")
	}
	h.Free = h.Free.Plus(size)
	h.Running--
	h.Jobs[job]--
	if h.Jobs[job] == 0 {
		delete(h.Jobs, job)
	}
	h.rack.remove(job, 1)
	x.reindex(h)
	x.Freed++
}

// Resize changes the reservation of a running task by the difference.
func (x *Index) Resize(h *Host, difference workerapi.Resources) {
	h.Free = h.Free.Minus(difference)
	x.reindex(h)
	x.Freed++
}

// Keep changes what is kept for urgent tasks on a host by the difference.
func (x *Index) Keep(h *Host, difference workerapi.Resources) {
	h.Kept = h.Kept.Plus(difference)
	if h.Kept.Negative() {
		panic("placement: less than nothing is kept on " + h.ID)
	}
	x.reindex(h)
	x.Freed++
}

// SetLimit bounds the number of tasks that run on the host at once; a negative
// limit is none.
func (x *Index) SetLimit(h *Host, limit int) {
	if h.Limit != limit {
		h.Limit = limit
		x.reindex(h)
		x.Freed++
	}
}

// Hold keeps a host for one task; an empty task ends the hold.
func (x *Index) Hold(h *Host, task string) {
	if h.HeldFor != task {
		h.HeldFor = task
		x.reindex(h)
		x.Freed++
	}
}

// cellOf returns where a host belongs. Closed, full and held hosts are not indexed.
func cellOf(h *Host) cell {
	room := h.Room()
	if !h.Accepts() || room.Negative() {
		return noCell
	}
	grid := gridPlain
	if room.Accelerators > 0 {
		grid = gridAccelerated
	}
	return cell{grid: grid, cpu: level(room.CPUMillis, cpuLevelMillis), memory: level(room.MemoryMB, memoryLevelMB)}
}

func (x *Index) reindex(h *Host) {
	want := cellOf(h)
	if want == h.cell {
		return
	}
	x.unindex(h)
	if want == noCell {
		return
	}
	list := &x.cells[want.grid][want.cpu][want.memory]
	h.cell = want
	h.place = len(*list)
	*list = append(*list, h)
	x.filled[want.grid][want.cpu] |= 1 << want.memory
}

func (x *Index) unindex(h *Host) {
	c := h.cell
	if c == noCell {
		return
	}
	list := &x.cells[c.grid][c.cpu][c.memory]
	last := len(*list) - 1
	moved := (*list)[last]
	(*list)[h.place] = moved
	moved.place = h.place
	(*list)[last] = nil
	*list = (*list)[:last]
	if last == 0 {
		x.filled[c.grid][c.cpu] &^= 1 << c.memory
	}
	h.cell = noCell
}
