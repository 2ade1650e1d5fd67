// Package fairness orders waiting tasks by priority class with aging, by weighted
// dominant-resource fairness between teams, and by quotas with borrowing of idle
// quota.
package fairness

import (
	"fmt"

	"geraniumwall/config"
	"geraniumwall/workerapi"
)

// account tracks the quota and usage of one team in one failure domain.
type account struct {
	name   string
	weight float64
	// deploymentQuota is the team's quota in the whole deployment, domainQuota the
	// part of it for this domain.
	deploymentQuota workerapi.Resources
	domainQuota     workerapi.Resources
	hasQuota        bool
	mayBorrow       bool
	used            workerapi.Resources
	// urgentUsed is the part of used that belongs to urgent tasks.
	urgentUsed workerapi.Resources
}

// newAccount returns an unused account. The domain quota is the deployment quota
// divided by the number of domains, rounded up.
func newAccount(c config.Team, domains int) account {
	deploymentQuota := workerapi.Resources(c.Quota)
	parts := int64(max(domains, 1))
	return account{
		name:            c.Name,
		weight:          float64(max(c.Weight, 1)),
		deploymentQuota: deploymentQuota,
		domainQuota: workerapi.Resources{
			CPUMillis:    (deploymentQuota.CPUMillis + parts - 1) / parts,
			MemoryMB:     (deploymentQuota.MemoryMB + parts - 1) / parts,
			Accelerators: (deploymentQuota.Accelerators + parts - 1) / parts,
		},
		hasQuota:  deploymentQuota != workerapi.Resources{},
		mayBorrow: c.MayBorrow,
	}
}

// withinQuota reports whether the team stays within its domain quota if it starts
// a task of the given size. A team that runs nothing may always start one task
// that fits its deployment quota; otherwise a task larger than the domain quota
// would wait forever. For urgent tasks only the team's urgent usage counts, so
// that its batch work doesn't delay them until it ends.
func (a *account) withinQuota(class config.Priority, size workerapi.Resources) bool {
	used := a.used
	if class == config.Urgent {
		used = a.urgentUsed
	}
	if !a.hasQuota || used.Plus(size).Fits(a.domainQuota) {
		return true
	}
	return used == workerapi.Resources{} && size.Fits(a.deploymentQuota)
}

// charge adds size, which may be negative, to the usage.
func (a *account) charge(class config.Priority, size workerapi.Resources) {
	a.used = a.used.Plus(size)
	if class == config.Urgent {
		a.urgentUsed = a.urgentUsed.Plus(size)
	}
	if a.used.Negative() || a.urgentUsed.Negative() {
		panic(fmt.Sprintf("fairness: account of team %q is negative: %+v", a.name, *a))
	}
}

// canEverAdmit reports whether the quota can ever admit a task of this size.
func (a *account) canEverAdmit(size workerapi.Resources) bool {
	return !a.hasQuota || a.mayBorrow || size.Fits(a.deploymentQuota)
}

// weightedShare returns the team's dominant share of capacity divided by its
// weight.
func (a *account) weightedShare(capacity workerapi.Resources) float64 {
	dominant := fraction(a.used.CPUMillis, capacity.CPUMillis)
	dominant = max(dominant, fraction(a.used.MemoryMB, capacity.MemoryMB))
	dominant = max(dominant, fraction(a.used.Accelerators, capacity.Accelerators))
	return dominant / a.weight
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
