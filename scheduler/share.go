package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// demandSmoothing is the weight of the newest demand. Without smoothing, single
	// requests move slots between gateways at each sync.
	demandSmoothing = 0.3
	// localWeight is the base weight of gateways of the domain, so that they hold slots
	// before they have demand.
	localWeight = 1.0
	// minDemand is the demand below which a service counts as unused.
	minDemand = 0.01
)

// sharePlan maps each worker to the number of its slots that each gateway should have.
type sharePlan map[string]map[gatewayKey]int

func (p sharePlan) share(worker string, key gatewayKey) int { return p[worker][key] }

func (g *gateway) updateDemand(newest map[string]int) {
	for service := range newest {
		if _, known := g.demand[service]; !known {
			g.demand[service] = 0
		}
	}
	for service, previous := range g.demand {
		smoothed := previous + demandSmoothing*(float64(newest[service])-previous)
		if g.demand[service] = smoothed; smoothed < minDemand {
			delete(g.demand, service)
		}
	}
}

// weight returns the weight of a gateway on a worker with the given services. A gateway
// of another domain has a weight only while it has demand.
func (g *gateway) weight(services []string) float64 {
	if g.draining {
		return 0
	}
	weight := 0.0
	if g.local {
		weight = localWeight
	}
	for _, s := range services {
		weight += g.demand[s]
	}
	return weight
}

// replan divides the slots of each worker among the gateways in proportion to their weight.
func (c *Core) replan(now time.Duration) {
	if now < c.nextReplan {
		return
	}
	c.nextReplan = now + replanInterval
	keys := slices.SortedFunc(maps.Keys(c.gateways), func(a, b gatewayKey) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.incarnation, b.incarnation))
	})
	plan := make(sharePlan, len(c.workers))
	for id, w := range c.workers {
		if !w.session.held {
			continue
		}
		ideal := c.idealShares(w, keys)
		if kept := c.plan[id]; withinRounding(kept, keys, ideal) {
			plan[id] = kept
			continue
		}
		plan[id] = roundShares(id, keys, ideal)
	}
	c.plan = plan
}

func (c *Core) idealShares(w *worker, keys []gatewayKey) []float64 {
	ideal := make([]float64, len(keys))
	total := 0.0
	for i, key := range keys {
		ideal[i] = c.gateways[key].weight(w.services)
		total += ideal[i]
	}
	if total == 0 {
		return ideal
	}
	slots := float64(max(0, w.allocation.slots-w.session.olderSlotsInUse))
	for i := range ideal {
		ideal[i] *= slots / total
	}
	return ideal
}

// withinRounding reports whether every gateway has its ideal share rounded up or down,
// so that moving slots would gain nothing.
func withinRounding(kept map[gatewayKey]int, keys []gatewayKey, ideal []float64) bool {
	if kept == nil || len(kept) != len(keys) {
		return false
	}
	sum, wanted := 0, 0.0
	for i, key := range keys {
		have, known := kept[key]
		if !known || math.Abs(ideal[i]-float64(have)) >= 1 {
			return false
		}
		sum += have
		wanted += ideal[i]
	}
	return math.Abs(wanted-float64(sum)) < 0.5
}

// roundShares rounds the shares and preserves their sum. The rounding offset depends
// on the worker, so that each gateway gets its share over many workers.
func roundShares(worker string, keys []gatewayKey, ideal []float64) map[gatewayKey]int {
	offset := float64(xxhash.Sum64String(worker)>>11) / (1 << 53)
	shares := make(map[gatewayKey]int, len(keys))
	sum, before := 0.0, 0
	for i, key := range keys {
		sum += ideal[i]
		upTo := int(math.Floor(sum + offset + 1e-9))
		shares[key] = upTo - before
		before = upTo
	}
	return shares
}
