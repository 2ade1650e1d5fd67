package control

import (
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumwall/lease"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/state"
	"geraniumwall/state/statepb"
)

const (
	// contactFresh is the age up to which a scheduler counts as present.
	contactFresh = 3 * lease.RenewEvery
	// standbyLost is the silence of a standby after which another one is named.
	standbyLost = 3 * time.Second
)

// contact is the newest renewal of a scheduler.
type contact struct {
	address        string
	seen           time.Duration
	mayBeAppointed bool
	// restarted is set when the active scheduler does not know its epoch any more.
	restarted bool
	revision  uint64
}

// domainView is what a leader knows of a domain besides the replicated record.
type domainView struct {
	grantor  lease.Grantor
	contacts map[string]*contact
	// answered is the newest epoch whose active scheduler may have been told so.
	answered uint64
	load     *controlpb.DomainLoad
	loadSeen time.Duration
}

// leadership is what a leader knows in one term. It ends with the term.
type leadership struct {
	term      uint64
	domains   map[string]*domainView
	binder    *binder
	deadlines deadlines
	retention retention
	joining   map[uint64]bool
	binding   bool
}

// newLeadership treats every lease as renewed now: the first entry of the term is
// committed, and what earlier leaders granted is not known.
func newLeadership(term uint64, now time.Duration, m *state.Machine) *leadership {
	l := &leadership{
		term:      term,
		domains:   map[string]*domainView{},
		binder:    newBinder(),
		deadlines: deadlines{},
		joining:   map[uint64]bool{},
	}
	for _, d := range m.Domains() {
		v := l.domain(d.GetDomain())
		v.grantor.Assume(now)
		v.answered = d.GetEpoch()
	}
	return l
}

func (l *leadership) domain(name string) *domainView {
	v := l.domains[name]
	if v == nil {
		v = &domainView{contacts: map[string]*contact{}}
		l.domains[name] = v
	}
	return v
}

// observe follows the applied commands that the leader's own knowledge depends on.
func (l *leadership) observe(now time.Duration, c *statepb.Command) {
	report, ok := c.GetKind().(*statepb.Command_Report)
	if !ok {
		return
	}
	for _, e := range report.Report.GetEvents() {
		if e.GetKind() == controlpb.TaskEventKind_TASK_EVENT_KIND_RETURNED {
			l.binder.returned(now, e.GetId(), report.Report.GetDomain())
		}
	}
}

// duties are the decisions of the leader that depend on time.
func (r *replica) duties() {
	if r.lead == nil {
		return
	}
	now := r.now()
	for _, d := range r.machine.Domains() {
		r.domainDuty(now, r.lead.domain(d.GetDomain()), d)
	}
	for name, v := range r.lead.domains {
		if r.machine.Domain(name) == nil {
			r.domainDuty(now, v, &statepb.DomainRecord{Domain: name, Clean: true})
		}
	}
	r.bindDuty(now)
	r.deadlineDuty(now)
	r.retentionDuty(now)
	r.joinDuty()
}

// decide proposes a command of the leader's own. done is called once in the actor
// unless the leadership has ended meanwhile.
func (r *replica) decide(c *statepb.Command, done func(answer proto.Message, err error)) {
	lead := r.lead
	c.UnixMs = time.Now().UnixMilli()
	data, err := state.Encode(c)
	if err != nil {
		panic(err.Error())
	}
	r.propose(&propose{data: data, done: func(answer proto.Message, err error) {
		if r.lead == lead {
			done(answer, err)
		}
	}})
}

// joinDuty records the replicas that have stored part of the log.
func (r *replica) joinDuty() {
	s := r.node.Status()
	r.noteJoined(s.ID)
	for _, p := range s.Peers {
		if p.Match > 0 {
			r.noteJoined(p.ID)
		}
	}
}

func (r *replica) noteJoined(id uint64) {
	lead := r.lead
	if r.machine.Joined(id) || lead.joining[id] {
		return
	}
	lead.joining[id] = true
	c := &statepb.Command{Kind: &statepb.Command_ReplicaJoined{ReplicaJoined: &statepb.ReplicaJoined{Id: id}}}
	r.decide(c, func(proto.Message, error) { delete(lead.joining, id) })
}
