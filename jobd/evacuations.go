package jobd

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch"
)

const (
	// maxDomainBytes bounds the name of a failure domain, maxOperatorBytes that of an operator.
	maxDomainBytes   = 255
	maxOperatorBytes = 255
)

var errNoEvacuations = &Error{
	Kind: KindUnsupported, Text: "this deployment does not use evacuations; set evacuation_apply_ms on all replicas",
}

// Evacuate implements OperatorService.
func (s *Server) Evacuate(ctx context.Context, domain, operator string) error {
	return s.orderEvacuation(ctx, domain, func(at int64) jobs.Command {
		return jobs.Command{Evacuate: &jobs.Evacuate{Domain: domain, By: operator, Replica: s.settings.Name, At: at}}
	})
}

// EndEvacuation implements OperatorService.
func (s *Server) EndEvacuation(ctx context.Context, domain, operator string) error {
	return s.orderEvacuation(ctx, domain, func(at int64) jobs.Command {
		return jobs.Command{EndEvacuation: &jobs.EndEvacuation{Domain: domain, By: operator, Replica: s.settings.Name, At: at}}
	})
}

// orderEvacuation commits an order about a failure domain. The order of the log decides
// between concurrent orders.
func (s *Server) orderEvacuation(ctx context.Context, domain string, command func(at int64) jobs.Command) error {
	if s.settings.EvacuationApplyMS == 0 {
		return errNoEvacuations
	}
	_, err := callManager(ctx, s, func(m *manager, done func(struct{}, error)) {
		finish := func(err error) { done(struct{}{}, err) }
		if err := m.checkLeader(); err != nil {
			finish(err)
			return
		}
		if err := m.checkDomain(domain); err != nil {
			finish(err)
			return
		}
		m.propose(command(time.Now().UnixMilli()), func(r jobs.Result, ok bool) {
			if ok {
				m.log.Info().Str("domain", domain).Bool("evacuated", m.store.Evacuated(domain)).Bool("changed", r.Applied).
					Uint64("term", m.term).Msg("evacuation order acknowledged")
			}
			finish(unresolvedUnless(ok))
		})
	})
	return err
}

// checkDomain returns an error unless a failure domain is known by the settings, by a
// worker or by an evacuation.
func (m *manager) checkDomain(domain string) error {
	if domain != "" && len(domain) <= maxDomainBytes && (slices.Contains(m.settings.Domains, domain) || m.store.KnowsDomain(domain)) {
		return nil
	}
	return &Error{Kind: KindUnknownDomain, Text: fmt.Sprintf("there is no failure domain %.64q; the known ones are %s",
		domain, strings.Join(m.knownDomains(), ", "))}
}

// knownDomains returns the failure domains of the settings, of the workers and of the
// evacuations, sorted.
func (m *manager) knownDomains() []string {
	domains := slices.Clone(m.settings.Domains)
	domains = slices.AppendSeq(domains, maps.Keys(m.store.WorkersByDomain()))
	for _, e := range m.store.Evacuations() {
		domains = append(domains, e.Domain)
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// publishEvacuations publishes the evacuations for the metrics.
func (m *manager) publishEvacuations() {
	if m.settings.EvacuationApplyMS == 0 {
		return
	}
	counts := evacuationCounts{domains: m.store.EvacuationCount()}
	if counts.domains > 0 {
		workers := m.store.WorkersByDomain()
		for _, e := range m.store.Evacuations() {
			counts.workers += workers[e.Domain]
		}
	}
	m.metrics.evacuation.Store(&counts)
}

// reportEvacuations counts the starts that were cancelled, and logs that all work waits. It is
// called once per statusInterval.
func (m *manager) reportEvacuations(s *dispatch.Status) {
	m.metrics.evacuatedStarts.Add(context.Background(), int64(s.EvacuatedStarts))
	if !s.AllEvacuated() {
		return
	}
	tasks := 0
	for i := range s.Queues {
		tasks += s.Queues[i].Tasks
	}
	m.log.Warn().Int("domains", s.EvacuatedDomains).Int("workers", s.Workers.Evacuated).Int("waiting_tasks", tasks).
		Msg("all failure domains with usable workers are evacuated; work waits until one evacuation is revoked")
}
