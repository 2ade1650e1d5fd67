// Package fairness orders waiting tasks: priority classes with aging, weighted
// dominant-resource fairness between teams, quotas and borrowing of idle quota.
package fairness

import (
	"fmt"

	"geraniumwall/config"
	"geraniumwall/workerapi"
)

// Team is the account of one team in one failure domain.
type Team struct {
	name   string
	weight float64
	// full is the quota of the deployment, quota the share of this domain.
	full    workerapi.Resources
	quota   workerapi.Resources
	limited bool
	borrows bool
	used    workerapi.Resources
	// urgent is the part of used by urgent tasks.
	urgent workerapi.Resources
}

// newTeam divides the quota by the number of domains, rounding up.
func newTeam(c config.Team, domains int) Team {
	full := workerapi.Resources(c.Quota)
	n := int64(max(domains, 1))
	return Team{
		name:   c.Name,
		weight: float64(max(c.Weight, 1)),
		full:   full,
		quota: workerapi.Resources{
			CPUMillis:    (full.CPUMillis + n - 1) / n,
			MemoryMB:     (full.MemoryMB + n - 1) / n,
			Accelerators: (full.Accelerators + n - 1) / n,
		},
		limited: full != workerapi.Resources{},
		borrows: c.MayBorrow,
	}
}

// within reports whether the team stays within its quota. A team that runs
// nothing may always run one task that fits its quota in the deployment, so
// that the division by domains never blocks a task for good. Urgent tasks count
// against the quota without the other tasks of the team, which would otherwise
// hold back urgent work until they end.
func (t *Team) within(class config.Priority, size workerapi.Resources) bool {
	used := t.used
	if class == config.Urgent {
		used = t.urgent
	}
	if !t.limited || used.Plus(size).Fits(t.quota) {
		return true
	}
	return used == workerapi.Resources{} && size.Fits(t.full)
}

// charge adds a size, which may be negative, to the account.
func (t *Team) charge(class config.Priority, size workerapi.Resources) {
	t.used = t.used.Plus(size)
	if class == config.Urgent {
		t.urgent = t.urgent.Plus(size)
	}
	if t.used.Negative() || t.urgent.Negative() {
		panic(fmt.Sprintf("fairness: account of team %q is negative: %+v", t.name, *t))
	}
}

// possible reports whether a task of this size can ever be admitted.
func (t *Team) possible(size workerapi.Resources) bool {
	return !t.limited || t.borrows || size.Fits(t.full)
}

// share is the weighted dominant share of the team.
func (t *Team) share(total workerapi.Resources) float64 {
	dominant := ratio(t.used.CPUMillis, total.CPUMillis)
	dominant = max(dominant, ratio(t.used.MemoryMB, total.MemoryMB))
	dominant = max(dominant, ratio(t.used.Accelerators, total.Accelerators))
	return dominant / t.weight
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
