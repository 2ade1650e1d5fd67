package jobs

import "strings"

// Queue accepts the jobs that callers submit under its host and path prefix.
type Queue struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// PathPrefix is the part of the request path before the job id.
	PathPrefix string `json:"path_prefix"`
	Service    string `json:"service"`
	// Priority orders queues; 0 is the highest priority.
	Priority int `json:"priority"`
	// MaxAttempts is the number of failed attempts of one task that fails its job.
	MaxAttempts int `json:"max_attempts"`
	// Stretch defines the target completion time of a job: Stretch times the length
	// of its critical path, plus LatencyObjective.
	Stretch float64 `json:"stretch"`
	// LatencyObjective is in milliseconds.
	LatencyObjective int64 `json:"latency_objective_ms"`
}

// Config is a configuration of the queues.
type Config struct {
	Version int64   `json:"version"`
	Queues  []Queue `json:"queues"`
	// MaxBodyBytes limits the body of a submission; 0 selects the default limit.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxHeaderBytes, HeaderTimeoutMS and IdleTimeoutMS limit the heads and the idle time of
	// callers' connections; 0 for no limit.
	MaxHeaderBytes  int64 `json:"max_header_bytes,omitempty"`
	HeaderTimeoutMS int64 `json:"header_timeout_ms,omitempty"`
	IdleTimeoutMS   int64 `json:"idle_timeout_ms,omitempty"`
	// Retired are queues that are no longer configured but still have active jobs.
	Retired []Queue `json:"retired,omitempty"`
	// Document is the configuration as the operator sent it, kept for reads.
	Document []byte `json:"document"`
}

// Match returns the queue of the host with the longest matching path prefix, or nil.
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

// Queue returns the queue with the given name, including retired ones, or nil.
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

// retainActiveQueues sets Retired to the removed queues of the previous configuration
// that still have active jobs.
func (c *Config) retainActiveQueues(previous *Config, hasJobs func(queue string) bool) {
	c.Retired = nil
	if previous == nil {
		return
	}
	for _, list := range [][]Queue{previous.Queues, previous.Retired} {
		for _, q := range list {
			if c.Queue(q.Name) == nil && hasJobs(q.Name) {
				c.Retired = append(c.Retired, q)
			}
		}
	}
}
