package gateway

import (
	"geraniumwall/config"
	"geraniumwall/control/client"
)

// serviceEntry is a service with its prepared metrics.
type serviceEntry struct {
	config.Service
	metrics *serviceMetrics
}

// serviceTable is an immutable snapshot of the configuration.
type serviceTable struct {
	version  uint64
	config   config.Config
	services map[string]*serviceEntry
}

func newServiceTable(s *client.Snapshot, m *metrics) *serviceTable {
	t := &serviceTable{services: map[string]*serviceEntry{}}
	if s == nil {
		return t
	}
	t.version = s.Version
	t.config = s.Config
	for _, service := range s.Config.Services {
		t.services[service.Name] = &serviceEntry{Service: service, metrics: m.service(service.Name)}
	}
	return t
}
