package config

import (
	"fmt"
	"regexp"
	"strings"
)

// Problem is one mistake in a configuration.
type Problem struct {
	// Place is the path of the value, for example services[quote-check].team.
	Place  string `json:"place"`
	Text   string `json:"text"`
	Remedy string `json:"remedy"`
}

// CheckError lists every problem of a configuration.
type CheckError struct {
	Problems []Problem `json:"problems"`
}

// Error returns one line for each problem.
func (e *CheckError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("configuration has %d problem(s)", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("%s: %s; %s", p.Place, p.Text, p.Remedy))
	}
	return strings.Join(lines, "\n")
}

// Limits that keep sizes within what int64 sums over a fleet can hold.
const (
	maxCPUMillis    = 1_024_000
	maxMemoryMB     = 64 << 20
	maxAccelerators = 1024
	maxDurationMS   = 30 * 24 * 3600 * 1000
	quotaFactor     = 100_000
)

var validName = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

type checker struct{ problems []Problem }

func (c *checker) add(place, text, remedy string) {
	c.problems = append(c.problems, Problem{Place: place, Text: text, Remedy: remedy})
}

func (c *checker) name(place, name string, seen map[string]bool) {
	if !validName.MatchString(name) {
		c.add(place, fmt.Sprintf("%q is not a name", name),
			"use 1 to 63 lower-case letters, digits and hyphens, starting with a letter")
	}
	if seen[name] {
		c.add(place, fmt.Sprintf("%q is declared twice", name), "rename or remove one of the two")
	}
	seen[name] = true
}

func (c *checker) resources(place string, r Resources, factor int64) {
	c.between(place+".cpu_millis", r.CPUMillis, 0, maxCPUMillis*factor)
	c.between(place+".memory_mb", r.MemoryMB, 0, maxMemoryMB*factor)
	c.between(place+".accelerators", r.Accelerators, 0, maxAccelerators*factor)
}

func (c *checker) between(place string, value, low, high int64) {
	if value < low || value > high {
		c.add(place, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("use %d to %d", low, high))
	}
}

// Check returns a *CheckError that lists all problems, or nil.
func (c *Config) Check() error {
	k := &checker{}
	if c.Format != Format {
		k.add("format", fmt.Sprintf("format %d is not supported", c.Format), fmt.Sprintf("use format %d", Format))
	}
	k.name("deployment", c.Deployment, map[string]bool{})
	c.checkDomains(k)
	teams := c.checkTeams(k)
	services := c.checkServices(k, teams)
	jobs := c.checkJobs(k, teams)
	c.checkApart(k, services, jobs)
	c.checkPolicy(k)
	if len(k.problems) > 0 {
		return &CheckError{Problems: k.problems}
	}
	return nil
}

func (c *Config) checkDomains(k *checker) {
	if len(c.Domains) == 0 {
		k.add("domains", "no failure domain is declared", "declare each failure domain that has entry hosts")
	}
	seen := map[string]bool{}
	for _, d := range c.Domains {
		k.name(fmt.Sprintf("domains[%s]", d), d, seen)
	}
}

func (c *Config) checkTeams(k *checker) map[string]bool {
	seen := map[string]bool{}
	for _, t := range c.Teams {
		place := fmt.Sprintf("teams[%s]", t.Name)
		k.name(place+".name", t.Name, seen)
		k.between(place+".weight", int64(t.Weight), 1, 1000)
		k.resources(place+".quota", t.Quota, quotaFactor)
	}
	return seen
}

func (c *Config) checkServices(k *checker, teams map[string]bool) map[string]bool {
	seen := map[string]bool{}
	for _, s := range c.Services {
		place := fmt.Sprintf("services[%s]", s.Name)
		k.name(place+".name", s.Name, seen)
		k.team(place, s.Team, teams)
		k.resources(place+".per_slot", s.PerSlot, 1)
		k.between(place+".target_p99_ms", s.TargetP99MS, 1, maxDurationMS)
		k.between(place+".deadline_ms", s.DeadlineMS, 1, maxDurationMS)
		k.between(place+".max_queue", int64(s.MaxQueue), 1, 1<<20)
		k.between(place+".max_body_bytes", s.MaxBodyBytes, 1, 1<<30)
	}
	return seen
}

func (c *Config) checkJobs(k *checker, teams map[string]bool) map[string]bool {
	seen := map[string]bool{}
	for _, j := range c.Jobs {
		place := fmt.Sprintf("jobs[%s]", j.Name)
		k.name(place+".name", j.Name, seen)
		k.team(place, j.Team, teams)
		if j.Priority != Urgent && j.Priority != Normal && j.Priority != Batch {
			k.add(place+".priority", fmt.Sprintf("%q is not a priority", j.Priority), "use urgent, normal or batch")
		}
		k.resources(place+".size", j.Size, 1)
		k.between(place+".size.cpu_millis", j.Size.CPUMillis, 1, maxCPUMillis)
		k.between(place+".expected_ms", j.ExpectedMS, 1, maxDurationMS)
		k.between(place+".max_attempts", int64(j.MaxAttempts), 1, 100)
	}
	return seen
}

func (k *checker) team(place, team string, teams map[string]bool) {
	if !teams[team] {
		k.add(place+".team", fmt.Sprintf("team %q is not declared", team), "declare the team or correct the name")
	}
}

func (c *Config) checkApart(k *checker, services, jobs map[string]bool) {
	for i, p := range c.Apart {
		place := fmt.Sprintf("apart[%d]", i)
		if !services[p.Service] {
			k.add(place+".service", fmt.Sprintf("service %q is not declared", p.Service), "declare it or correct the name")
		}
		if !jobs[p.Job] {
			k.add(place+".job", fmt.Sprintf("job %q is not declared", p.Job), "declare it or correct the name")
		}
	}
}

func (c *Config) checkPolicy(k *checker) {
	k.between("policy.evictions_per_minute", int64(c.Policy.EvictionsPerMinute), 1, 100_000)
	k.between("policy.min_run_ms", c.Policy.MinRunMS, 1, maxDurationMS)
	k.between("policy.retry_percent", int64(c.Policy.RetryPercent), 1, 100)
	if !(c.Policy.SlowdownLimit >= 1 && c.Policy.SlowdownLimit <= 10) {
		k.add("policy.slowdown_limit", fmt.Sprintf("%g is out of range", c.Policy.SlowdownLimit), "use 1 to 10")
	}
}
