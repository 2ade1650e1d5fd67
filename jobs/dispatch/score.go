package dispatch

import (
	"math"

	"geraniumwall/jobs"
)

// Weights of the score of a worker for a task, in shares of a worker's capacity.
const (
	dataRackWeight = 4.0
	// avoidWeight keeps a task from the worker on which it has failed, unless no
	// other has room.
	avoidWeight = 8.0
	// disturbWeight keeps fillers from serving tasks that would become too slow.
	disturbWeight = 6.0
	// servingUse is the share of its request that a serving task uses on average.
	servingUse = 0.5
	// emptyWeight keeps harmless fillers from workers without serving tasks, which
	// are the only ones for fillers that disturb.
	emptyWeight = 0.3
)

// room describes a worker for a plan.
func (d *Dispatcher) room(w *worker) *room {
	r := &room{w: w, free: w.free(), headroom: map[string]float64{}, idle: float64(w.Capacity.MilliCPU)}
	for _, a := range w.attempts {
		r.starts += bit(a.phase == phaseProposed || a.phase == phaseOrdered)
		r.use(a.step)
		if a.step.TailTarget == 0 {
			continue
		}
		room := math.Log(tailAim * float64(a.step.TailTarget))
		if a.serves() {
			room = d.headroom(w, a)
		}
		if former, known := r.headroom[a.step.Image]; !known || room < former {
			r.headroom[a.step.Image] = room
		}
	}
	return r
}

// use takes what a task uses from the idle processor time.
func (r *room) use(step *jobs.Step) {
	share := 1.0
	if step.TailTarget > 0 {
		share = servingUse
		r.serving++
	}
	r.idle -= share * float64(step.Request.MilliCPU)
}

// charge takes a planned task into the room.
func (d *Dispatcher) charge(r *room, step *jobs.Step) {
	r.use(step)
	if !step.Filler {
		return
	}
	for image := range r.headroom {
		r.headroom[image] -= d.effect(image, step.Image) * float64(step.Request.MilliCPU) / milliCores
	}
}

// score rates a worker for a task; the highest is best.
func (d *Dispatcher) score(step *jobs.Step, t *jobs.Task, r *room) float64 {
	capacity := float64(max(1, r.w.Capacity.MilliCPU))
	score := 0.0
	if step.DataRack != "" && r.w.rack() == step.DataRack {
		score += dataRackWeight
	}
	if avoided, ok := d.planner.avoided[t.Key]; ok && avoided.worker == r.w.Worker {
		score -= avoidWeight
	}
	switch {
	case step.TailTarget > 0:
		// Serving tasks share few workers, so that others stay free for fillers that
		// disturb them.
		return score - float64(r.free.MilliCPU)/capacity
	case step.Filler:
		return score + d.fillerScore(step, r, capacity)
	default:
		return score + r.idle/capacity
	}
}

func (d *Dispatcher) fillerScore(step *jobs.Step, r *room, capacity float64) float64 {
	cores := float64(step.Request.MilliCPU) / milliCores
	score := min(0, r.idle-float64(step.Request.MilliCPU))/capacity*2 + r.idle/capacity
	if r.serving == 0 {
		return score - emptyWeight
	}
	for image, room := range r.headroom {
		if over := d.effect(image, step.Image)*cores - room; over > 0 && d.effect(image, step.Image) > knownEffect/2 {
			score -= disturbWeight * (1 + over)
		}
	}
	return score
}
