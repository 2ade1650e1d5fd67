package placement

// Weights of the terms of the score. Each term ranges from about 0 to 1.
const (
	weightFreeCapacity = 0.5
	weightImbalance    = 0.3
	weightCrowding     = 0.4
	weightAvoided      = 4
	weightInterference = 1
)

// Rules disables terms of the score for ablation experiments.
type Rules struct {
	NoPacking      bool
	NoSpread       bool
	NoInterference bool
}

// Interference estimates the cost of placing a request on a host: 0 is no effect on
// its services, 1 a service at its limit. refuse is set if a service would exceed
// its limit.
type Interference func(h *Host, r *Request) (cost float64, refuse bool)

// Choice is the chosen host with its score and the terms of the score before
// weighting. A lower score is better.
type Choice struct {
	Host  *Host
	Score float64
	// Room is the mean share of the host's CPU and memory that stays free.
	Room float64
	// Rack measures how many tasks of the job run in the rack and on the host.
	Rack         float64
	Interference float64
	// Candidates is the number of hosts compared, Refused the number of those on which
	// a service would exceed its limit.
	Candidates int
	Refused    int
}

// Chooser selects the host with the lowest score.
type Chooser struct {
	Index        *Index
	Rules        Rules
	Interference Interference
	candidates   []*Host
}

// Choose returns the best host for the request; Choice.Host is nil if there is none.
// If insist is set, hosts on which a service would exceed its limit are eligible too.
func (c *Chooser) Choose(r *Request, insist bool) Choice {
	c.candidates = c.Index.candidates(r, c.candidates)
	best := Choice{}
	refused := 0
	for _, h := range c.candidates {
		choice, refuse := c.score(r, h)
		if refuse {
			refused++
			if !insist {
				continue
			}
		}
		if best.Host == nil || choice.Score < best.Score {
			best = choice
		}
	}
	best.Candidates = len(c.candidates)
	best.Refused = refused
	return best
}

func (c *Chooser) score(r *Request, h *Host) (Choice, bool) {
	choice := Choice{Host: h}
	refuse := false
	left := h.Room().Minus(r.Need)
	cpu, memory := fraction(left.CPUMillis, h.Capacity.CPUMillis), fraction(left.MemoryMB, h.Capacity.MemoryMB)
	if !c.Rules.NoPacking {
		choice.Room = (cpu + memory) / 2
		choice.Score += weightFreeCapacity*choice.Room + weightImbalance*max(cpu-memory, memory-cpu)
	}
	if !c.Rules.NoSpread {
		choice.Rack = rackCrowding(h, r.Job)
		choice.Score += weightCrowding * choice.Rack
	}
	if r.Avoid[h.ID] {
		choice.Score += weightAvoided
	}
	if !c.Rules.NoInterference && c.Interference != nil {
		choice.Interference, refuse = c.Interference(h, r)
		choice.Score += weightInterference * choice.Interference
	}
	return choice, refuse
}

// rackCrowding grows from 0 towards 1 with the number of tasks of the job on the
// host and with their average number per host of its rack, so that tasks on the host
// count twice. It spreads a job over racks, so that the loss of a rack costs the job
// little.
func rackCrowding(h *Host, job string) float64 {
	r := h.rack
	perRackHost := float64(r.tasksByJob[job]) / float64(r.hostCount)
	onHost := float64(h.tasksOfJob(job))
	return (perRackHost + onHost) / (2 + perRackHost + onHost)
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
