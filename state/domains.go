package state

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"geraniumwall/rpc/controlpb"
	"geraniumwall/state/statepb"
)

// setDomain stores a record. It asserts that the epoch of a domain never decreases
// and that an epoch has a single active scheduler.
func (m *Machine) setDomain(d *statepb.DomainRecord) proto.Message {
	previous := m.domains[d.GetDomain()]
	assert(d.GetEpoch() >= previous.GetEpoch(), "epoch of domain %s decreased", d.GetDomain())
	assert(d.GetEpoch() > previous.GetEpoch() || d.GetActive() == previous.GetActive(),
		"epoch %d of domain %s has two active schedulers", d.GetEpoch(), d.GetDomain())
	d.Revision = m.index
	m.domains[d.GetDomain()] = d
	return d
}

func (m *Machine) checkEpoch(domain string, epoch uint64) (*statepb.DomainRecord, *Refusal) {
	d := m.domains[domain]
	if d.GetEpoch() != epoch {
		return nil, newRefusal(KindStaleEpoch, "domain %s has epoch %d, not %d; read the record again",
			domain, d.GetEpoch(), epoch)
	}
	return d, nil
}

func (m *Machine) checkRevision(domain string, epoch, revision uint64) (*statepb.DomainRecord, *Refusal) {
	d, refusal := m.checkEpoch(domain, epoch)
	if refusal != nil {
		return nil, refusal
	}
	if d.GetActive() == "" || d.GetRevision() != revision {
		return nil, newRefusal(KindStaleRevision, "domain %s has revision %d, not %d; read the record again",
			domain, d.GetRevision(), revision)
	}
	return d, nil
}

// appoint makes a scheduler the active one of its domain under the next epoch.
func (m *Machine) appoint(unixMS int64, c *statepb.Appoint) (proto.Message, *Refusal) {
	previous, refusal := m.checkEpoch(c.GetDomain(), c.GetIfEpoch())
	if refusal != nil {
		return nil, refusal
	}
	m.audit.append(&controlpb.AuditRecord{
		UnixMs: unixMS, Actor: "control", Action: "scheduler.appointed", Subject: c.GetDomain(),
		Detail: fmt.Sprintf("%s in place of %q: %s", c.GetScheduler(), previous.GetActive(), c.GetReason()),
		Result: fmt.Sprintf("epoch %d", c.GetIfEpoch()+1),
	})
	return m.setDomain(&statepb.DomainRecord{
		Domain: c.GetDomain(), Epoch: c.GetIfEpoch() + 1,
		Active: c.GetScheduler(), ActiveAddress: c.GetAddress(), Clean: c.GetClean(),
	}), nil
}

// nameStandby replaces the standby. The record is no longer clean if there was
// another one: until the active scheduler confirms the new standby, a scheduler
// lease granted by the former one may be outstanding.
func (m *Machine) nameStandby(c *statepb.NameStandby) (proto.Message, *Refusal) {
	d, refusal := m.checkRevision(c.GetDomain(), c.GetIfEpoch(), c.GetIfRevision())
	if refusal != nil {
		return nil, refusal
	}
	sameStandby := d.GetStandby() == "" || d.GetStandby() == c.GetScheduler()
	return m.setDomain(&statepb.DomainRecord{
		Domain: d.GetDomain(), Epoch: d.GetEpoch(), Active: d.GetActive(), ActiveAddress: d.GetActiveAddress(),
		Standby: c.GetScheduler(), StandbyAddress: c.GetAddress(), Clean: d.GetClean() && sameStandby,
	}), nil
}

func (m *Machine) confirmStandby(c *statepb.ConfirmStandby) (proto.Message, *Refusal) {
	d, refusal := m.checkRevision(c.GetDomain(), c.GetIfEpoch(), c.GetIfRevision())
	if refusal != nil {
		return nil, refusal
	}
	return m.setDomain(&statepb.DomainRecord{
		Domain: d.GetDomain(), Epoch: d.GetEpoch(), Active: d.GetActive(), ActiveAddress: d.GetActiveAddress(),
		Standby: d.GetStandby(), StandbyAddress: d.GetStandbyAddress(), Clean: true,
	}), nil
}

// expireDomain ends the epoch of a domain without appointing a scheduler. Its tasks
// become pending again, or cancelled if their cancellation was requested.
func (m *Machine) expireDomain(unixMS int64, c *statepb.ExpireDomain) (proto.Message, *Refusal) {
	previous, refusal := m.checkEpoch(c.GetDomain(), c.GetIfEpoch())
	if refusal != nil {
		return nil, refusal
	}
	tasks := m.tasks.boundTo(c.GetDomain())
	for _, r := range tasks {
		m.unbindTask(r)
	}
	m.audit.append(&controlpb.AuditRecord{
		UnixMs: unixMS, Actor: "control", Action: "domain.expired", Subject: c.GetDomain(),
		Detail: fmt.Sprintf("lease of %q is over, %d tasks are bound elsewhere", previous.GetActive(), len(tasks)),
		Result: fmt.Sprintf("epoch %d", c.GetIfEpoch()+1),
	})
	return m.setDomain(&statepb.DomainRecord{Domain: c.GetDomain(), Epoch: c.GetIfEpoch() + 1, Clean: true}), nil
}

func (m *Machine) unbindTask(r *statepb.TaskRecord) {
	state, ok := nextState(r.GetTask(), eventDomainExpired)
	assert(ok, "bound task %s cannot be unbound", r.GetTask().GetId())
	after := copyTaskRecord(r)
	after.LastEvent, after.LastDomain = 0, ""
	t := after.Task
	t.State, t.ChangedIndex = state, m.index
	t.Domain, t.Epoch = "", 0
	m.tasks.replace(r, after)
}

// Domain returns the record of a domain, or nil if it has none.
func (m *Machine) Domain(name string) *statepb.DomainRecord { return m.domains[name] }

// Domains returns the records of all domains, sorted by name.
func (m *Machine) Domains() []*statepb.DomainRecord {
	return sortedValues(m.domains, func(a, b *statepb.DomainRecord) int {
		return compareIdempotencyKeys(idempotencyKey{caller: a.GetDomain()}, idempotencyKey{caller: b.GetDomain()})
	})
}
