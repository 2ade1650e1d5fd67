package placement

// Weights of the score; all parts are about 0 to 1.
const (
	weightRoom         = 0.5
	weightBalance      = 0.3
	weightRack         = 0.4
	weightAvoid        = 4
	weightInterference = 1
)

// Rules switches parts of the choice off, for measurements of what they earn.
type Rules struct {
	NoPacking      bool
	NoSpread       bool
	NoInterference bool
}

// Interference estimates the cost of a request on a host: 0 is none, 1 is
// a service at its limit. Refuse is set when a service would pass its limit.
type Interference func(h *Host, r *Request) (cost float64, refuse bool)

// Choice is the chosen host with the parts of its score.
type Choice struct {
	Host         *Host
	Score        float64
	Room         float64
	Rack         float64
	Interference float64
	// Candidates were compared, Refused of them for their services.
	Candidates int
	Refused    int
}

// Chooser chooses hosts.
type Chooser struct {
	Index        *Index
	Rules        Rules
	Interference Interference
	found        []*Host
}

// Choose returns the best host for the request, or a choice without a host. When
// insist is set, a host is chosen even if one of its services would pass its limit.
func (c *Chooser) Choose(r *Request, insist bool) Choice {
	c.found = c.Index.candidates(r, c.found)
	best := Choice{}
	refused := 0
	for _, h := range c.found {
		one, refuse := c.score(r, h)
		if refuse {
			refused++
			if !insist {
				continue
			}
		}
		if best.Host == nil || one.Score < best.Score {
			best = one
		}
	}
	best.Candidates = len(c.found)
	best.Refused = refused
	return best
}

func (c *Chooser) score(r *Request, h *Host) (Choice, bool) {
	one := Choice{Host: h}
	refuse := false
	left := h.Room().Minus(r.Need)
	cpu, memory := share(left.CPUMillis, h.Capacity.CPUMillis), share(left.MemoryMB, h.Capacity.MemoryMB)
	if !c.Rules.NoPacking {
		one.Room = (cpu + memory) / 2
		one.Score += weightRoom*one.Room + weightBalance*max(cpu-memory, memory-cpu)
	}
	if !c.Rules.NoSpread {
		one.Rack = crowding(h, r.Job)
		one.Score += weightRack * one.Rack
	}
	if r.Avoid[h.ID] {
		one.Score += weightAvoid
	}
	if !c.Rules.NoInterference && c.Interference != nil {
		one.Interference, refuse = c.Interference(h, r)
		one.Score += weightInterference * one.Interference
	}
	return one, refuse
}

// crowding is the part of the tasks of the job that run in the rack of the host,
// with the host itself counted twice: a lost rack should cost a job little.
func crowding(h *Host, job string) float64 {
	r := h.rack
	inRack := float64(r.jobs[job]) / float64(r.hosts)
	onHost := float64(h.sameJob(job))
	return (inRack + onHost) / (2 + inRack + onHost)
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
