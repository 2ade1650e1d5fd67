package placement

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumwall/policy"
	"geraniumwall/workerapi"
)

// The index consists of two-dimensional grids of buckets, by free CPU and by free
// memory: one grid for hosts with free accelerators and one for the others. Levels
// are logarithmic, with two levels per doubling of the amount.
const (
	levelCount     = 16
	cpuLevelMillis = 250
	memoryLevelMB  = 512
)

// Grids of the index.
const (
	gridPlain = iota
	gridAccelerated
	gridCount
)

// bucketKey locates a bucket; a negative grid means that the host is not indexed.
type bucketKey struct{ grid, cpu, memory int }

var notIndexed = bucketKey{grid: -1}

// level returns the highest level whose lower bound is at most amount.
func level(amount, unit int64) int {
	if amount < unit {
		return 0
	}
	units := uint64(amount / unit)
	octave := bits.Len64(units) - 1
	upperHalf := 0
	if octave > 0 {
		upperHalf = int(units>>(octave-1)) & 1
	}
	return min(1+2*octave+upperHalf, levelCount-1)
}

// Index holds the hosts of a domain by free capacity. The number of probes bounds
// the cost of a search, which doesn't grow with the number of hosts.
type Index struct {
	random  *rand.Rand
	hosts   map[string]*Host
	buckets [gridCount][levelCount][levelCount][]*Host
	// occupied has a bit set for each non-empty bucket, by grid and CPU level.
	occupied [gridCount][levelCount]uint16
	racks    map[string]*rack
	profiles map[profile]*profileUsage
	total    workerapi.Resources
	// Freed is incremented by every change after which a task may fit that didn't fit
	// before.
	Freed uint64
}

// rack counts the hosts in a rack and the running tasks of each job on them.
type rack struct {
	hostCount  int
	tasksByJob map[string]int
}

// NewIndex returns an empty index; random breaks ties between equal hosts.
func NewIndex(random *rand.Rand) *Index {
	return &Index{
		random:   random,
		hosts:    map[string]*Host{},
		racks:    map[string]*rack{},
		profiles: map[profile]*profileUsage{},
	}
}

// Host returns a host or nil.
func (x *Index) Host(id string) *Host { return x.hosts[id] }

// Len returns the number of hosts.
func (x *Index) Len() int { return len(x.hosts) }

// Hosts returns all hosts ordered by ID.
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

// Total returns the capacity that all hosts offer to tasks.
func (x *Index) Total() workerapi.Resources { return x.total }

// Upsert adds a host or replaces its description. Its running tasks and the state
// set by the other methods are kept.
func (x *Index) Upsert(now time.Duration, w policy.Worker) *Host {
	h := Host{
		ID: w.ID, Rack: w.Rack, Services: slices.Clone(w.Services), Open: w.Accepting,
		Capacity: w.Capacity, Offered: w.Capacity.Minus(w.Reserved),
		TasksByJob: map[string]int{}, Limit: -1, bucket: notIndexed,
	}
	h.Free = h.Offered
	if old := x.hosts[h.ID]; old != nil {
		h.Free = h.Offered.Minus(old.Offered.Minus(old.Free))
		h.TasksByJob, h.RunningTasks, h.Limit, h.HeldFor, h.Kept = old.TasksByJob, old.RunningTasks, old.Limit, old.HeldFor, old.Kept
		x.removeHost(now, old)
	}
	x.hosts[h.ID] = &h
	x.total = x.total.Plus(h.Offered)
	r := x.rackNamed(h.Rack)
	h.rack = r
	r.hostCount++
	for job, n := range h.TasksByJob {
		r.tasksByJob[job] += n
	}
	usage := x.profiles[h.profile()]
	if usage == nil {
		usage = &profileUsage{services: h.Services}
		x.profiles[h.profile()] = usage
	}
	usage.hostCount++
	usage.lastSeen = now
	x.reindex(&h)
	x.Freed++
	return &h
}

// Remove removes a host together with the record of its running tasks.
func (x *Index) Remove(now time.Duration, id string) {
	if h := x.hosts[id]; h != nil {
		x.removeHost(now, h)
	}
}

func (x *Index) removeHost(now time.Duration, h *Host) {
	x.unindex(h)
	delete(x.hosts, h.ID)
	x.total = x.total.Minus(h.Offered)
	r := h.rack
	r.hostCount--
	for job, n := range h.TasksByJob {
		r.remove(job, n)
	}
	if r.hostCount == 0 {
		delete(x.racks, h.Rack)
	}
	usage := x.profiles[h.profile()]
	usage.hostCount--
	usage.lastSeen = now
}

func (x *Index) rackNamed(name string) *rack {
	r := x.racks[name]
	if r == nil {
		r = &rack{tasksByJob: map[string]int{}}
		x.racks[name] = r
	}
	return r
}

func (r *rack) remove(job string, n int) {
	r.tasksByJob[job] -= n
	if r.tasksByJob[job] <= 0 {
		delete(r.tasksByJob, job)
	}
}

// Take reserves capacity on a host for a task of the job. The free capacity may
// become negative for tasks that are found running after a failover.
func (x *Index) Take(h *Host, job string, size workerapi.Resources) {
	h.Free = h.Free.Minus(size)
	h.RunningTasks++
	h.TasksByJob[job]++
	h.rack.tasksByJob[job]++
	x.reindex(h)
}

// Give releases the capacity of a task of the job.
func (x *Index) Give(h *Host, job string, size workerapi.Resources) {
	if h.TasksByJob[job] == 0 {
		panic("placement: released a task of job " + job + " on host " + h.ID + ", which runs none of that job")
	}
	h.Free = h.Free.Plus(size)
	h.RunningTasks--
	h.TasksByJob[job]--
	if h.TasksByJob[job] == 0 {
		delete(h.TasksByJob, job)
	}
	h.rack.remove(job, 1)
	x.reindex(h)
	x.Freed++
}

// Resize adds difference, which may be negative, to the reservation of a running
// task.
func (x *Index) Resize(h *Host, difference workerapi.Resources) {
	h.Free = h.Free.Minus(difference)
	x.reindex(h)
	x.Freed++
}

// Keep adds difference, which may be negative, to the capacity reserved for urgent
// tasks on a host.
func (x *Index) Keep(h *Host, difference workerapi.Resources) {
	h.Kept = h.Kept.Plus(difference)
	if h.Kept.Negative() {
		panic("placement: negative reservation for urgent tasks on host " + h.ID)
	}
	x.reindex(h)
	x.Freed++
}

// SetLimit limits the number of tasks that may run on the host at once; a negative
// value removes the limit.
func (x *Index) SetLimit(h *Host, limit int) {
	if h.Limit != limit {
		h.Limit = limit
		x.reindex(h)
		x.Freed++
	}
}

// Hold reserves a whole host for one task; an empty task ends the reservation.
func (x *Index) Hold(h *Host, task string) {
	if h.HeldFor != task {
		h.HeldFor = task
		x.reindex(h)
		x.Freed++
	}
}

// bucketOf returns the bucket of a host, or notIndexed for a host that accepts no
// tasks or has negative free capacity.
func bucketOf(h *Host) bucketKey {
	room := h.Room()
	if !h.Accepts() || room.Negative() {
		return notIndexed
	}
	grid := gridPlain
	if room.Accelerators > 0 {
		grid = gridAccelerated
	}
	return bucketKey{grid: grid, cpu: level(room.CPUMillis, cpuLevelMillis), memory: level(room.MemoryMB, memoryLevelMB)}
}

// reindex moves a host to its bucket after a change.
func (x *Index) reindex(h *Host) {
	target := bucketOf(h)
	if target == h.bucket {
		return
	}
	x.unindex(h)
	if target == notIndexed {
		return
	}
	list := &x.buckets[target.grid][target.cpu][target.memory]
	h.bucket = target
	h.position = len(*list)
	*list = append(*list, h)
	x.occupied[target.grid][target.cpu] |= 1 << target.memory
}

func (x *Index) unindex(h *Host) {
	key := h.bucket
	if key == notIndexed {
		return
	}
	list := &x.buckets[key.grid][key.cpu][key.memory]
	last := len(*list) - 1
	moved := (*list)[last]
	(*list)[h.position] = moved
	moved.position = h.position
	(*list)[last] = nil
	*list = (*list)[:last]
	if last == 0 {
		x.occupied[key.grid][key.cpu] &^= 1 << key.memory
	}
	h.bucket = notIndexed
}
