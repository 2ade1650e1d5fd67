package operator

import (
	"fmt"
	"io"
	"reflect"
	"strings"

	"geraniumwall/config"
)

// Change is one difference between two configurations.
type Change struct {
	// Place is the declared thing, for example job cutting-plan.
	Place  string `json:"place"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
	// Effect says what the change does to running work.
	Effect string `json:"effect"`
	// Running names the running work that it concerns, as far as it is known.
	Running string `json:"running,omitempty"`
}

// Diff lists the differences from before to after by declared name.
func Diff(before, after config.Config) []Change {
	changes := []Change{}
	changes = append(changes, diffList("domain", asMap(before.Domains, self), asMap(after.Domains, self), domainEffect)...)
	changes = append(changes, diffList("team", asMap(before.Teams, teamName), asMap(after.Teams, teamName), teamEffect)...)
	changes = append(changes, diffList("service", asMap(before.Services, serviceName), asMap(after.Services, serviceName), serviceEffect)...)
	changes = append(changes, diffList("job", asMap(before.Jobs, jobName), asMap(after.Jobs, jobName), jobEffect)...)
	changes = append(changes, diffList("apart", asMap(before.Apart, pairName), asMap(after.Apart, pairName), apartEffect)...)
	if before.Policy != after.Policy {
		changes = append(changes, Change{
			Place: "policy", Before: text(before.Policy), After: text(after.Policy),
			Effect: "applies to decisions from now on",
		})
	}
	return changes
}

func self(s string) string                { return s }
func teamName(t config.Team) string       { return t.Name }
func serviceName(s config.Service) string { return s.Name }
func jobName(j config.Job) string         { return j.Name }
func pairName(p config.Pair) string       { return p.Service + "/" + p.Job }
func text(v any) string                   { return fmt.Sprintf("%+v", v) }
func domainEffect(added, removed bool) string {
	return effect(added, removed, "tasks may name it; the quotas of all teams are divided by the new number of domains",
		"new tasks that name it are refused; others may still be bound to it until its schedulers are stopped; quotas are divided anew", "")
}
func teamEffect(added, removed bool) string {
	return effect(added, removed, "may submit tasks", "its new tasks are refused; accepted ones finish with weight 1 and no quota",
		"quota and weight apply to the next starts; running tasks stay unless another team needs what they borrow; a waiting task above the whole quota cannot run")
}
func serviceEffect(added, removed bool) string {
	return effect(added, removed, "requests are routed once workers announce it", "new requests are refused with 404", "applies to new requests; a larger size per slot may evict tasks")
}
func jobEffect(added, removed bool) string {
	return effect(added, removed, "tasks may name it", "new tasks are refused; accepted ones finish with the default number of attempts", "applies to new tasks; accepted ones keep their size")
}
func apartEffect(added, removed bool) string {
	return effect(added, removed, "new tasks of the job avoid the hosts; running ones stay", "new tasks of the job may share the hosts", "")
}

func effect(added, removed bool, whenAdded, whenRemoved, whenChanged string) string {
	switch {
	case added:
		return whenAdded
	case removed:
		return whenRemoved
	default:
		return whenChanged
	}
}

// ordered keeps the order of declaration beside the values by name.
type ordered[T any] struct {
	names  []string
	values map[string]T
}

func asMap[T any](list []T, name func(T) string) ordered[T] {
	o := ordered[T]{values: map[string]T{}}
	for _, item := range list {
		o.names = append(o.names, name(item))
		o.values[name(item)] = item
	}
	return o
}

func diffList[T any](kind string, before, after ordered[T], effectOf func(added, removed bool) string) []Change {
	var changes []Change
	for _, name := range before.names {
		old := before.values[name]
		now, kept := after.values[name]
		switch {
		case !kept:
			changes = append(changes, Change{Place: kind + " " + name, Before: text(old), Effect: effectOf(false, true)})
		case !reflect.DeepEqual(old, now):
			changes = append(changes, Change{Place: kind + " " + name, Before: text(old), After: text(now), Effect: effectOf(false, false)})
		}
	}
	for _, name := range after.names {
		if _, known := before.values[name]; !known {
			changes = append(changes, Change{Place: kind + " " + name, After: text(after.values[name]), Effect: effectOf(true, false)})
		}
	}
	return changes
}

// WriteDiff writes the changes for people.
func WriteDiff(w io.Writer, changes []Change) error {
	var lines strings.Builder
	if len(changes) == 0 {
		lines.WriteString("no change\n")
	}
	for _, c := range changes {
		lines.WriteString(c.Place + "\n")
		for _, line := range []struct{ mark, text string }{{"-", c.Before}, {"+", c.After}, {"=", c.Effect}, {"*", c.Running}} {
			if line.text != "" {
				lines.WriteString("  " + line.mark + " " + line.text + "\n")
			}
		}
	}
	_, err := io.WriteString(w, lines.String())
	return err
}
