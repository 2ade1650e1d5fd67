package dispatch

import (
	"cmp"
	"slices"
	"time"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch/locality"
)

// maxGangRacks bounds the racks that are examined for one gang, those with the most free CPU
// first. In a fleet of 3,000 workers a search through all 250 racks takes 1.6 ms.
const maxGangRacks = 16

// gangRack is a rack in which a gang could run as a whole.
type gangRack struct {
	name         string
	workers      []*candidate
	freeMilliCPU int64
}

// placeGang returns a worker for each task of a gang, or nil if the gang waits. All of its
// tasks are considered together, since the slowest one decides when the gang ends.
func (d *Dispatcher) placeGang(wj *waitingJob, step *jobs.Step, waiting []*jobs.Task, candidates []*candidate) []*candidate {
	if d.options.RemoteSlowdown <= 1 || !step.SameRack && step.DataRack == "" {
		return d.fitGang(wj, step, waiting, candidates)
	}
	s := d.placeStepOf(wj, waiting[0])
	racks := d.gangRacks(wj, step)
	needed := step.ReservedResources().MilliCPU * int64(len(waiting))
	for _, rack := range racks {
		if rack.freeMilliCPU < needed {
			break
		}
		if chosen := d.fitGang(wj, step, waiting, rack.workers); chosen != nil {
			s.together = true
			return chosen
		}
	}
	chosen := d.fitGang(wj, step, waiting, candidates)
	if chosen == nil || d.gangWaits(wj, step, waiting, racks) {
		return nil
	}
	return chosen
}

// gangRacks returns the racks in which a gang runs fastest: that of its data, or any one.
// Those with the most free CPU come first, and are the only ones in a large fleet.
func (d *Dispatcher) gangRacks(wj *waitingJob, step *jobs.Step) []gangRack {
	p := &d.planner.places
	p.index()
	var list []gangRack
	for key, workers := range p.racks {
		if key.service != wj.service || step.DataRack != "" && key.rack != step.DataRack {
			continue
		}
		rack := gangRack{name: key.rack, workers: workers}
		for _, c := range workers {
			rack.freeMilliCPU += max(0, c.free.MilliCPU)
		}
		list = append(list, rack)
	}
	slices.SortFunc(list, func(a, b gangRack) int {
		return cmp.Or(cmp.Compare(b.freeMilliCPU, a.freeMilliCPU), cmp.Compare(a.name, b.name))
	})
	return list[:min(len(list), maxGangRacks)]
}

// gangWaits reports whether a gang waits until one of the racks has room for all of it,
// instead of starting on several racks.
func (d *Dispatcher) gangWaits(wj *waitingJob, step *jobs.Step, waiting []*jobs.Task, racks []gangRack) bool {
	if !d.mayWaitForPlace(step) {
		return false
	}
	in := d.placeInput(d.placeStepOf(wj, waiting[0]), step, waiting[0])
	for _, t := range waiting {
		in.Waited = min(in.Waited, time.Duration(d.unixMS-t.EndedAt)*time.Millisecond)
	}
	if !d.planner.places.mayWait(in) {
		return false
	}
	best := -1
	var starts []int
	for i := range racks {
		if at, found := d.gangRoom(wj, step, waiting, racks[i].workers); found != nil && (best < 0 || at < in.Room) {
			best, starts, in.Room = i, found, at
		}
	}
	if best < 0 {
		return false
	}
	in.RoomExpected = true
	in.Demand = d.planner.places.demand(rackKey{wj.service, racks[best].name}, d.now)
	if !d.planner.places.decide(in).Wait {
		return false
	}
	for i, t := range waiting {
		racks[best].workers[starts[i]].room.Reserve(in.Room, in.Duration, step.ReservedResources())
		d.deferTask(t, racks[best].name, in)
	}
	return true
}

// gangRoom returns when the workers of a rack are expected to have room for all tasks of a
// gang, and the index of the worker for each of them, nil if they have no room for all.
func (d *Dispatcher) gangRoom(wj *waitingJob, step *jobs.Step, waiting []*jobs.Task, rack []*candidate) (time.Duration, []int) {
	rooms := d.expectedRoom(rack)
	for i := range rooms {
		rooms[i] = rooms[i].Clone()
	}
	at, expected := time.Duration(0), map[*candidate]int{}
	var starts []int
	for _, t := range waiting {
		i, start := locality.Earliest(rooms, step.ReservedResources(), func(i int) bool {
			return d.placeAdmits(wj, step, t, rack[i], expected)
		})
		if i < 0 {
			return 0, nil
		}
		rooms[i].Reserve(start, time.Hour, step.ReservedResources())
		expected[rack[i]]++
		at, starts = max(at, start), append(starts, i)
	}
	return at, starts
}
