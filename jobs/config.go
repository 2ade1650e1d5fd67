package jobs

import "strings"

// Queue takes in the jobs of callers who use its host and path.
type Queue struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// PathPrefix precedes the id of a job in the path.
	PathPrefix string `json:"path_prefix"`
	Service    string `json:"service"`
	// Priority orders queues; 0 comes first.
	Priority int `json:"priority"`
	// MaxAttempts is the number of failed attempts after which a job has failed.
	MaxAttempts int `json:"max_attempts"`
	// Stretch times the longest chain of work, plus LatencyObjective, is the time
	// in which a job should be done.
	Stretch float64 `json:"stretch"`
	// LatencyObjective is in milliseconds.
	LatencyObjective int64 `json:"latency_objective_ms"`
}

// Config is the configuration in force.
type Config struct {
	Version int64   `json:"version"`
	Queues  []Queue `json:"queues"`
	// MaxBodyBytes bounds a submission; 0 is no bound.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// Retired are queues that the configuration no longer has, for the jobs that they
	// accepted before.
	Retired []Queue `json:"retired,omitempty"`
	// Document is what the operator sent, for reading back.
	Document []byte `json:"document"`
}

// Match returns the queue of a host with the longest prefix of the path, or nil.
func (c *Config) Match(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if best == nil || len(q.PathPrefix) > len(best.PathPrefix) {
			best = q
		}
	}
	return best
}

// Queue returns the queue with the name, retired or not, or nil.
func (c *Config) Queue(name string) *Queue {
	for _, list := range [][]Queue{c.Queues, c.Retired} {
		for i := range list {
			if list[i].Name == name {
				return &list[i]
			}
		}
	}
	return nil
}

// retire keeps the queues of a former configuration that still have jobs.
func (c *Config) retire(former *Config, hasJobs func(queue string) bool) {
	c.Retired = nil
	if former == nil {
		return
	}
	for _, list := range [][]Queue{former.Queues, former.Retired} {
		for _, q := range list {
			if c.Queue(q.Name) == nil && hasJobs(q.Name) {
				c.Retired = append(c.Retired, q)
			}
		}
	}
}
