package operator

import (
	"fmt"
	"strings"

	"geraniumwall/config"
	"geraniumwall/operatorapi"
)

// Names of task states in the counts of the control replicas.
const (
	statePending = "pending"
	stateBound   = "bound"
)

// RunningWork is what the status says about unfinished work. The status counts
// tasks by state and by domain; it has no counts by job, team or service.
type RunningWork struct {
	// known is set if the control replicas answered.
	known           bool
	pending, bound  int64
	runningByDomain map[string]int32
	waitingByDomain map[string]int32
}

// RunningWorkOf reads the unfinished work from a status.
func RunningWorkOf(s operatorapi.Status) RunningWork {
	r := RunningWork{runningByDomain: map[string]int32{}, waitingByDomain: map[string]int32{}}
	if s.Control != nil {
		counts := s.Control.GetTaskCounts()
		r.known, r.pending, r.bound = true, counts[statePending], counts[stateBound]
	}
	for _, one := range s.Schedulers {
		if one.Role == roleActive {
			r.runningByDomain[one.Domain], r.waitingByDomain[one.Domain] = one.Running, one.Waiting
		}
	}
	return r
}

// Annotate adds to each change the running work that it concerns.
func (r RunningWork) Annotate(changes []Change, before, after config.Config) {
	for i := range changes {
		changes[i].Running = r.concerned(&changes[i], before, after)
	}
}

func (r RunningWork) concerned(c *Change, before, after config.Config) string {
	kind, name, _ := strings.Cut(c.Place, " ")
	added := c.Before == ""
	switch kind {
	case "domain":
		if !added {
			return r.inDomain(name)
		}
	case "team":
		if !added {
			return r.ofTeam(name, before, after)
		}
	case "job":
		if !added {
			return r.unfinished("of the job")
		}
	case "apart":
		if added {
			return r.unfinished("of the job on hosts of the service")
		}
	case "service":
		if !added {
			return "requests in progress: not known; the status does not count them"
		}
	}
	return ""
}

func (r RunningWork) inDomain(name string) string {
	running, known := r.runningByDomain[name]
	if !known {
		return "tasks in the domain: not known; no active scheduler of it answered"
	}
	return fmt.Sprintf("%d tasks run and %d wait in the domain", running, r.waitingByDomain[name])
}

func (r RunningWork) ofTeam(name string, before, after config.Config) string {
	old, _ := before.FindTeam(name)
	now, kept := after.FindTeam(name)
	if !kept {
		return r.unfinished("of the team")
	}
	if lowered(old.Quota, now.Quota) || (old.MayBorrow && !now.MayBorrow) {
		return r.unfinished("above the lowered quota")
	}
	return ""
}

// lowered reports whether a quota gives less of any resource. All amounts zero is
// no limit.
func lowered(old, now config.Resources) bool {
	none := config.Resources{}
	if now == none || old == none {
		return now != none
	}
	return now.CPUMillis < old.CPUMillis || now.MemoryMB < old.MemoryMB || now.Accelerators < old.Accelerators
}

// unfinished describes tasks that the status cannot single out.
func (r RunningWork) unfinished(which string) string {
	total := r.pending + r.bound
	switch {
	case !r.known:
		return "tasks " + which + ": not known; the control replicas did not answer"
	case total == 0:
		return "tasks " + which + ": none; no accepted task is unfinished"
	}
	return fmt.Sprintf("tasks %s: not known; %d pending and %d bound in all, which the status does not split",
		which, r.pending, r.bound)
}
