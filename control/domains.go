package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumwall/lease"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/state/statepb"
)

func record(d *statepb.DomainRecord) lease.Record {
	return lease.Record{Epoch: d.GetEpoch(), Active: d.GetActive(), Standby: d.GetStandby(), Clean: d.GetClean()}
}

// renew takes in a renewal after a heartbeat round has confirmed the leadership.
func (l *leadership) renew(
	now time.Duration, d *statepb.DomainRecord, q *controlpb.RenewLeaseRequest,
) *controlpb.RenewLeaseResponse {
	v := l.domain(q.GetDomain())
	c := &contact{
		address: q.GetAddress(), seen: now, mayBeAppointed: q.GetMayBeAppointed(), revision: q.GetKnownRevision(),
	}
	v.contacts[q.GetScheduler()] = c
	answer := &controlpb.RenewLeaseResponse{
		Role: controlpb.SchedulerRole_SCHEDULER_ROLE_NONE, Epoch: d.GetEpoch(), Revision: d.GetRevision(),
		Active: d.GetActive(), ActiveAddress: d.GetActiveAddress(),
		Standby: d.GetStandby(), StandbyAddress: d.GetStandbyAddress(),
	}
	switch q.GetScheduler() {
	case d.GetActive():
		l.renewActive(now, v, c, d, q, answer)
	case d.GetStandby():
		answer.Role = controlpb.SchedulerRole_SCHEDULER_ROLE_STANDBY
	}
	return answer
}

// renewActive grants the leases to the active scheduler. One that does not know
// its epoch although it may have been told has restarted: it gets no epoch until
// it is appointed again, since it would number attempts from the start.
func (l *leadership) renewActive(
	now time.Duration, v *domainView, c *contact, d *statepb.DomainRecord,
	q *controlpb.RenewLeaseRequest, answer *controlpb.RenewLeaseResponse,
) {
	c.restarted = q.GetEpoch() > d.GetEpoch() || (q.GetEpoch() == 0 && v.answered >= d.GetEpoch())
	if c.restarted || !v.grantor.Renew(now) {
		answer.Epoch, answer.Revision = 0, 0
		return
	}
	v.answered = d.GetEpoch()
	if q.GetLoad() != nil {
		v.load, v.loadSeen = q.GetLoad(), now
	}
	answer.Role = controlpb.SchedulerRole_SCHEDULER_ROLE_ACTIVE
	answer.SchedulerLeaseMs = lease.SchedulerLease.Milliseconds()
	answer.DomainLeaseMs = lease.DomainLease.Milliseconds()
}

// domainDuty proposes what is to change about the schedulers of a domain. No lease
// is given until a change is decided: a lease of the old epoch must not be granted
// behind it.
func (r *replica) domainDuty(now time.Duration, v *domainView, d *statepb.DomainRecord) {
	c := v.change(now, d)
	if c == nil {
		return
	}
	r.log.Info().Str("domain", d.GetDomain()).Uint64("epoch", d.GetEpoch()).Stringer("change", c).
		Msg("changing the schedulers of a domain")
	v.grantor.BeginChange()
	r.decide(c, func(_ proto.Message, err error) {
		v.changed(r.now(), c)
		if err != nil {
			r.log.Warn().Err(err).Msg("change of a domain's schedulers failed")
		}
	})
}

// changed ends the pause of renewals. An appointed scheduler gets the time to ask
// for its leases.
func (v *domainView) changed(now time.Duration, c *statepb.Command) {
	v.grantor.EndChange()
	if c.GetAppoint() != nil {
		v.grantor.Assume(now)
	}
}

// change returns the command that the state of a domain calls for, or nil.
func (v *domainView) change(now time.Duration, d *statepb.DomainRecord) *statepb.Command {
	if v.grantor.Changing() {
		return nil
	}
	if d.GetActive() != "" && !v.grantor.SchedulerOver(now) {
		return v.standbyChange(now, d)
	}
	if name := v.candidate(now, d); name != "" {
		return v.appoint(now, d, name)
	}
	if d.GetActive() == "" || !v.grantor.DomainOver(now) {
		return nil
	}
	return &statepb.Command{Kind: &statepb.Command_ExpireDomain{
		ExpireDomain: &statepb.ExpireDomain{Domain: d.GetDomain(), IfEpoch: d.GetEpoch()},
	}}
}

// candidate returns the scheduler to appoint, the standby first, or "".
func (v *domainView) candidate(now time.Duration, d *statepb.DomainRecord) string {
	names := slices.SortedFunc(maps.Keys(v.contacts), func(a, b string) int {
		return cmp.Or(rank(a, d)-rank(b, d), cmp.Compare(a, b))
	})
	for _, name := range names {
		c := v.contacts[name]
		fresh := now-c.seen <= contactFresh && c.mayBeAppointed
		if fresh && (name != d.GetActive() || c.restarted) && v.grantor.MayAppoint(record(d), name, now) {
			return name
		}
	}
	return ""
}

func rank(name string, d *statepb.DomainRecord) int {
	switch name {
	case d.GetStandby():
		return 0
	case d.GetActive():
		return 1
	}
	return 2
}

func (v *domainView) appoint(now time.Duration, d *statepb.DomainRecord, name string) *statepb.Command {
	return &statepb.Command{Kind: &statepb.Command_Appoint{Appoint: &statepb.Appoint{
		Domain: d.GetDomain(), IfEpoch: d.GetEpoch(), Scheduler: name, Address: v.contacts[name].address,
		Reason: "the scheduler lease of the former active scheduler is over",
		Clean:  v.grantor.CleanAfter(record(d), now),
	}}}
}

// standbyChange names a standby or records that the active scheduler knows it.
func (v *domainView) standbyChange(now time.Duration, d *statepb.DomainRecord) *statepb.Command {
	active := v.contacts[d.GetActive()]
	if !d.GetClean() && active != nil && active.revision == d.GetRevision() {
		return &statepb.Command{Kind: &statepb.Command_ConfirmStandby{ConfirmStandby: &statepb.ConfirmStandby{
			Domain: d.GetDomain(), IfEpoch: d.GetEpoch(), IfRevision: d.GetRevision(),
		}}}
	}
	name := v.newStandby(now, d)
	if name == "" {
		return nil
	}
	return &statepb.Command{Kind: &statepb.Command_NameStandby{NameStandby: &statepb.NameStandby{
		Domain: d.GetDomain(), IfEpoch: d.GetEpoch(), IfRevision: d.GetRevision(),
		Scheduler: name, Address: v.contacts[name].address,
	}}}
}

// newStandby returns the scheduler to name as standby, or "" to leave it. The
// present one stays unless it is silent; a new address of it is taken over.
func (v *domainView) newStandby(now time.Duration, d *statepb.DomainRecord) string {
	present := v.contacts[d.GetStandby()]
	if present != nil && now-present.seen <= standbyLost {
		if present.address != d.GetStandbyAddress() {
			return d.GetStandby()
		}
		return ""
	}
	for _, name := range slices.Sorted(maps.Keys(v.contacts)) {
		if name != d.GetActive() && name != d.GetStandby() && now-v.contacts[name].seen <= contactFresh {
			return name
		}
	}
	return ""
}
