package config

// Deployment builds a Config. References between declarations are values
// returned by the builder, so a misspelt team or service does not compile.
type Deployment struct{ config Config }

// TeamRef refers to a declared team.
type TeamRef struct{ name string }

// ServiceRef refers to a declared service.
type ServiceRef struct{ name string }

// JobRef refers to a declared job.
type JobRef struct{ name string }

// New starts a deployment with its failure domains.
func New(name string, domains ...string) *Deployment {
	return &Deployment{config: Config{Format: Format, Deployment: name, Domains: domains}}
}

// Team declares a team. The name in t is replaced by name.
func (d *Deployment) Team(name string, t Team) TeamRef {
	t.Name = name
	d.config.Teams = append(d.config.Teams, t)
	return TeamRef{name}
}

// Service declares a latency-critical service of a team.
func (d *Deployment) Service(name string, team TeamRef, s Service) ServiceRef {
	s.Name, s.Team = name, team.name
	d.config.Services = append(d.config.Services, s)
	return ServiceRef{name}
}

// Job declares a kind of batch task of a team.
func (d *Deployment) Job(name string, team TeamRef, j Job) JobRef {
	j.Name, j.Team = name, team.name
	d.config.Jobs = append(d.config.Jobs, j)
	return JobRef{name}
}

// KeepApart keeps a job off the hosts that offer a service.
func (d *Deployment) KeepApart(s ServiceRef, j JobRef) {
	d.config.Apart = append(d.config.Apart, Pair{Service: s.name, Job: j.name})
}

// Policy sets the tuning of the decisions.
func (d *Deployment) Policy(p Policy) { d.config.Policy = p }

// Config returns the declared configuration with defaults filled in.
func (d *Deployment) Config() Config { return d.config.WithDefaults() }

// Cores returns n processors in millicores.
func Cores(n float64) int64 { return int64(n * 1000) }

// GB returns n gigabytes in megabytes.
func GB(n int64) int64 { return n * 1024 }

// Durations in milliseconds.
const (
	Second = 1000
	Minute = 60 * Second
	Hour   = 60 * Minute
)
