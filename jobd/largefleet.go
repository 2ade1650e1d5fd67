package jobd

import "time"

const (
	// largeFleetIdleTimeout replaces the idle timeout of connections to workers in a large
	// fleet. It is several times the longest pause between two holds of a worker with tasks.
	largeFleetIdleTimeout = 10 * time.Second
	// smallFleetShare times the number of workers of a large fleet is the number below which
	// the fleet counts as small again.
	smallFleetShare = 0.9
	// maxCarrierWait is how long the orders of a new leader of a large fleet wait for the first
	// carrier. Without it the leader itself would open a connection to each worker that it
	// polls until then.
	maxCarrierWait = 500 * time.Millisecond
)

// awaitsCarriers reports whether the orders of a leader that has led for a time wait for a
// carrier.
func awaitsCarriers(large bool, carriers int, led time.Duration) bool {
	return large && carriers == 0 && led < maxCarrierWait
}

// updateFleetSize follows the number of registered workers, which each replica knows.
func (m *manager) updateFleetSize() {
	threshold := m.settings.LargeFleetWorkers
	if threshold == 0 {
		return
	}
	workers, large := m.store.WorkerCount(), m.largeFleet.Load()
	changed := !large && workers >= threshold || large && float64(workers) < smallFleetShare*float64(threshold)
	if !changed {
		return
	}
	m.largeFleet.Store(!large)
	idle := largeFleetIdleTimeout
	if large {
		idle = 0
	}
	if c, limits := m.workers.(IdleLimiter); limits {
		c.SetIdleTimeout(idle)
	}
	m.log.Info().Int("workers", workers).Int("large_fleet_workers", threshold).Bool("large", !large).Msg("fleet size changed")
}
