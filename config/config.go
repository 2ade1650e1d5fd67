// Package config is the operators' configuration library. A crew declares its
// teams, services and jobs as Go values, and Print writes the canonical JSON
// document that "geranium apply" takes in.
//
// Processors are millicores, memory is megabytes, durations are milliseconds.
package config

// Format is the version of the document format.
const Format = 1

// Priority is the importance class of a job.
type Priority string

// Priority classes. Urgent work starts within 1.1 s.
const (
	Urgent Priority = "urgent"
	Normal Priority = "normal"
	Batch  Priority = "batch"
)

// Resources is an amount of host capacity.
type Resources struct {
	CPUMillis    int64 `json:"cpu_millis"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Config is the whole configuration of one deployment.
type Config struct {
	Format     int       `json:"format"`
	Deployment string    `json:"deployment"`
	Domains    []string  `json:"domains"`
	Teams      []Team    `json:"teams"`
	Services   []Service `json:"services"`
	Jobs       []Job     `json:"jobs"`
	// Apart lists pairs of a service and a job that never share a host.
	Apart []Pair `json:"apart,omitempty"`
	// Policy tunes the decisions; zero values take the defaults.
	Policy Policy `json:"policy"`
}

// Team owns work and has a quota.
type Team struct {
	Name string `json:"name"`
	// Weight is the share of the team when several compete; at least 1.
	Weight int `json:"weight"`
	// Quota is what the team may use at once. Idle quota of others may be
	// borrowed if MayBorrow is set.
	Quota     Resources `json:"quota"`
	MayBorrow bool      `json:"may_borrow,omitempty"`
}

// Service is latency-critical work that upstreams announce.
type Service struct {
	Name string `json:"name"`
	Team string `json:"team"`
	// PerSlot is reserved on a host for each slot of the service.
	PerSlot Resources `json:"per_slot"`
	// Idempotent requests may be retried and hedged.
	Idempotent bool `json:"idempotent"`
	// TargetP99MS is the tail latency that the service is held to.
	TargetP99MS int64 `json:"target_p99_ms"`
	// DeadlineMS is the deadline of a request that names none.
	DeadlineMS int64 `json:"deadline_ms"`
	// MaxQueue is the number of requests a gateway holds back for the service.
	MaxQueue int `json:"max_queue"`
	// MaxBodyBytes limits the body of a request.
	MaxBodyBytes int64 `json:"max_body_bytes"`
}

// Job is a kind of batch task.
type Job struct {
	Name     string    `json:"name"`
	Team     string    `json:"team"`
	Priority Priority  `json:"priority"`
	Size     Resources `json:"size"`
	// ExpectedMS is the declared run time.
	ExpectedMS int64 `json:"expected_ms"`
	// MaxAttempts is the number of failed attempts after which a task fails.
	MaxAttempts int `json:"max_attempts"`
	// Checkpoints says whether tasks can be resumed from a checkpoint.
	Checkpoints bool `json:"checkpoints,omitempty"`
}

// Pair names a service and a job.
type Pair struct {
	Service string `json:"service"`
	Job     string `json:"job"`
}

// Policy tunes the decisions.
type Policy struct {
	// EvictionsPerMinute limits evictions in each domain. Urgent tasks may use the
	// budget of one minute in advance.
	EvictionsPerMinute int `json:"evictions_per_minute"`
	// MinRunMS is the shortest run since the last checkpoint before an eviction.
	MinRunMS int64 `json:"min_run_ms"`
	// SlowdownLimit is the modelled slowdown of a service from which its
	// neighbours are throttled.
	SlowdownLimit float64 `json:"slowdown_limit"`
	// RetryPercent is the share of requests that may be retried.
	RetryPercent int `json:"retry_percent"`
}

// Default limits of services, jobs and the policy.
const (
	DefaultDeadlineMS         = 2000
	DefaultMaxQueue           = 256
	DefaultMaxBodyBytes       = 1 << 20
	DefaultMaxAttempts        = 3
	DefaultEvictionsPerMinute = 30
	DefaultMinRunMS           = 5000
	DefaultSlowdownLimit      = 1.25
	DefaultRetryPercent       = 10
)

// WithDefaults returns a copy of c with every unset limit at its default.
func (c Config) WithDefaults() Config {
	c.Format = orDefault(c.Format, Format)
	c.Services = append([]Service(nil), c.Services...)
	for i := range c.Services {
		s := &c.Services[i]
		s.DeadlineMS = orDefault(s.DeadlineMS, DefaultDeadlineMS)
		s.MaxQueue = orDefault(s.MaxQueue, DefaultMaxQueue)
		s.MaxBodyBytes = orDefault(s.MaxBodyBytes, DefaultMaxBodyBytes)
	}
	c.Jobs = append([]Job(nil), c.Jobs...)
	for i := range c.Jobs {
		c.Jobs[i].MaxAttempts = orDefault(c.Jobs[i].MaxAttempts, DefaultMaxAttempts)
	}
	p := &c.Policy
	p.EvictionsPerMinute = orDefault(p.EvictionsPerMinute, DefaultEvictionsPerMinute)
	p.MinRunMS = orDefault(p.MinRunMS, DefaultMinRunMS)
	p.SlowdownLimit = orDefault(p.SlowdownLimit, DefaultSlowdownLimit)
	p.RetryPercent = orDefault(p.RetryPercent, DefaultRetryPercent)
	return c
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// FindService returns the service with the name.
func (c *Config) FindService(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// FindJob returns the job with the name.
func (c *Config) FindJob(name string) (Job, bool) {
	for _, j := range c.Jobs {
		if j.Name == name {
			return j, true
		}
	}
	return Job{}, false
}

// FindTeam returns the team with the name.
func (c *Config) FindTeam(name string) (Team, bool) {
	for _, t := range c.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}
