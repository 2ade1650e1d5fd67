package state

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"geraniumwall/rpc/controlpb"
	"geraniumwall/state/statepb"
)

func expireCommand(domain string, epoch uint64) *statepb.Command {
	return &statepb.Command{Kind: &statepb.Command_ExpireDomain{
		ExpireDomain: &statepb.ExpireDomain{Domain: domain, IfEpoch: epoch},
	}}
}

// model is a minimal second implementation of what callers may rely on.
type model struct {
	version  uint64
	changes  map[string]uint64
	outcomes map[string]*controlpb.Task
	attempts map[string]*controlpb.Attempt
	epochs   map[string]uint64
	// holder runs a request, or ran it with an outcome other than not_run.
	holder map[string]string
	// follower is the set of bound tasks as a scheduler knows it from the feed.
	follower map[string]map[string]bool
	seen     map[string]uint64
}

func newModel() *model {
	return &model{
		changes: map[string]uint64{}, outcomes: map[string]*controlpb.Task{}, attempts: map[string]*controlpb.Attempt{},
		epochs: map[string]uint64{}, holder: map[string]string{}, follower: map[string]map[string]bool{},
		seen: map[string]uint64{},
	}
}

var (
	someDomains    = []string{"a", "b"}
	someSchedulers = []string{"s1", "s2"}
	someKeys       = []string{"k1", "k2", "k3"}
)

func pick[T any](t *rapid.T, from []T) T { return rapid.SampledFrom(from).Draw(t, "pick") }

func number(t *rapid.T, most uint64) uint64 { return rapid.Uint64Range(0, most).Draw(t, "number") }

// drawCommand draws a command whose preconditions often hold.
func drawCommand(t *rapid.T, m *Machine) *statepb.Command {
	domain := pick(t, someDomains)
	d := m.Domain(domain)
	epoch := d.GetEpoch() - min(d.GetEpoch(), number(t, 5)/5)
	id := fmt.Sprintf("t%d", 1+number(t, 4))
	switch number(t, 13) {
	case 0, 1:
		return submitCommand(pick(t, someKeys))
	case 2:
		return cancelCommand(id)
	case 3, 4:
		return bindCommand(id, domain, epoch)
	case 5, 6, 7:
		task, _ := m.Task(id)
		a := attempt(task.GetAttempt().GetEpoch()+number(t, 3)/3, task.GetAttempt().GetNumber()+number(t, 2)-min(1, number(t, 1)))
		return reportCommand(domain, d.GetActive(), epoch, id, pick(t, allKinds), a)
	case 8:
		return appointCommand(domain, epoch, pick(t, someSchedulers))
	case 9:
		return expireCommand(domain, epoch)
	}
	return drawRecordCommand(t, m)
}

func drawRecordCommand(t *rapid.T, m *Machine) *statepb.Command {
	key, holder := pick(t, someKeys[:2]), pick(t, []string{"h1", "h2", "h3"})
	switch number(t, 5) {
	case 0, 1:
		return &statepb.Command{Kind: &statepb.Command_BeginRequest{BeginRequest: &controlpb.BeginRequestRequest{
			Caller: "c", IdempotencyKey: key, Holder: holder, BodyHash: []byte("h"), DeadlineMs: 1,
		}}}
	case 2:
		return &statepb.Command{Kind: &statepb.Command_EndRequest{EndRequest: &controlpb.EndRequestRequest{
			Caller: "c", IdempotencyKey: key, Holder: holder,
			Outcome: &controlpb.RequestOutcome{Outcome: pick(t, []string{"done", "failed", "not_run"})},
		}}}
	case 3:
		return &statepb.Command{Kind: &statepb.Command_ExpireRequests{ExpireRequests: &statepb.ExpireRequests{
			Requests: []*statepb.RequestKey{{Caller: "c", IdempotencyKey: key, Holder: holder}},
		}}}
	case 4:
		return &statepb.Command{Kind: &statepb.Command_Audit{Audit: &controlpb.RecordAuditRequest{
			Records: []*controlpb.AuditRecord{{Actor: "x", Action: "y"}},
		}}}
	}
	base := m.Config().GetVersion()
	return &statepb.Command{Kind: &statepb.Command_ApplyConfig{ApplyConfig: &controlpb.ApplyConfigRequest{
		ChangeId: fmt.Sprint("change", number(t, 9)), BaseVersion: base - min(base, number(t, 2)/2), Author: "o",
	}}}
}

// check compares the answer to a command and the state after it with the model.
func (o *model) check(t *rapid.T, m *Machine, c *statepb.Command, answer proto.Message, err error) {
	switch k := c.GetKind().(type) {
	case *statepb.Command_ApplyConfig:
		o.checkConfig(t, k.ApplyConfig, answer.(*controlpb.ApplyConfigResponse))
	case *statepb.Command_Bind:
		b := k.Bind.GetBindings()[0]
		if b.GetIfEpoch() != o.epochs[b.GetDomain()] && answer.(*statepb.BindResult).GetBound() != 0 {
			t.Fatalf("bound under epoch %d, the domain has %d", b.GetIfEpoch(), o.epochs[b.GetDomain()])
		}
	case *statepb.Command_BeginRequest:
		o.checkBegin(t, k.BeginRequest, answer.(*controlpb.BeginRequestResponse))
	case *statepb.Command_EndRequest:
		if err == nil && k.EndRequest.GetOutcome().GetOutcome() == "not_run" {
			delete(o.holder, k.EndRequest.GetIdempotencyKey())
		}
	}
	o.checkTasks(t, m)
	for _, domain := range someDomains {
		o.checkDomain(t, m, domain)
	}
	if err := VerifyAudit(m.Audit(0, 1<<20, "", "")); err != nil {
		t.Fatal(err)
	}
}

func (o *model) checkConfig(t *rapid.T, c *controlpb.ApplyConfigRequest, answer *controlpb.ApplyConfigResponse) {
	first, known := o.changes[c.GetChangeId()]
	accept := !known && c.GetBaseVersion() == o.version
	if accept {
		o.version++
		first = o.version
		o.changes[c.GetChangeId()] = first
	}
	if answer.GetAccepted() != (known || accept) || answer.GetRepeated() != known {
		t.Fatalf("change %s on %d at %d: %v", c.GetChangeId(), c.GetBaseVersion(), o.version, answer)
	}
	if answer.GetAccepted() && answer.GetVersion() != first {
		t.Fatalf("change %s has version %d, not %d", c.GetChangeId(), answer.GetVersion(), first)
	}
}

func (o *model) checkBegin(t *rapid.T, c *controlpb.BeginRequestRequest, answer *controlpb.BeginRequestResponse) {
	if answer.GetState() != controlpb.RequestState_REQUEST_STATE_STARTED {
		return
	}
	if holder, runs := o.holder[c.GetIdempotencyKey()]; runs && holder != c.GetHolder() {
		t.Fatalf("%s is started by %s and may have run for %s", c.GetIdempotencyKey(), c.GetHolder(), holder)
	}
	o.holder[c.GetIdempotencyKey()] = c.GetHolder()
}

func (o *model) checkTasks(t *rapid.T, m *Machine) {
	for id, r := range m.tasks.byID {
		task := r.GetTask()
		if first := o.outcomes[id]; first != nil && first != task {
			t.Fatalf("%s has two outcomes: %v and %v", id, first, task)
		}
		if Ended(task) {
			o.outcomes[id] = task
		}
		if before := o.attempts[id]; before != nil && task.GetAttempt().GetEpoch() == before.GetEpoch() &&
			task.GetAttempt().GetNumber() < before.GetNumber() {
			t.Fatalf("%s: attempt goes back from %v to %v", id, before, task.GetAttempt())
		}
		o.attempts[id] = task.GetAttempt()
		if task.GetState() == taskBound && task.GetEpoch() > m.Domain(task.GetDomain()).GetEpoch() {
			t.Fatalf("%s is bound to an epoch that its domain never had", id)
		}
	}
}

// checkDomain follows a domain's feed as a scheduler does.
func (o *model) checkDomain(t *rapid.T, m *Machine, domain string) {
	if e := m.Domain(domain).GetEpoch(); e < o.epochs[domain] {
		t.Fatalf("epoch of %s goes back", domain)
	}
	o.epochs[domain] = m.Domain(domain).GetEpoch()
	tasks, complete := m.TasksAfter(domain, o.seen[domain])
	if complete {
		o.follower[domain] = map[string]bool{}
	}
	for _, task := range tasks {
		delete(o.follower[domain], task.GetId())
		if task.GetState() == taskBound && task.GetDomain() == domain {
			o.follower[domain][task.GetId()] = true
		}
	}
	o.seen[domain] = m.Index()
	if len(o.follower[domain]) != m.BoundCount(domain) {
		t.Fatalf("a follower of %s knows %v, bound are %d", domain, o.follower[domain], m.BoundCount(domain))
	}
}

// randomRun applies random commands to two machines, of which one is restored
// from snapshots now and then, and compares both with the model.
func randomRun(t *rapid.T) {
	d := driver{New()}
	copied := driver{New()}
	o := newModel()
	for range rapid.IntRange(20, 120).Draw(t, "steps") {
		c := drawCommand(t, d.m)
		answer, err := d.apply(c)
		other, otherErr := copied.apply(c)
		if !proto.Equal(answer, other) || fmt.Sprint(err) != fmt.Sprint(otherErr) {
			t.Fatalf("%v: answers differ: %v %v, %v %v", c, answer, err, other, otherErr)
		}
		o.check(t, d.m, c, answer, err)
		if number(t, 20) == 0 {
			restored, err := Restore(snapshotOf(copied.m))
			if err != nil {
				t.Fatal(err)
			}
			copied.m = restored
		}
	}
	if !bytes.Equal(snapshotOf(d.m), snapshotOf(copied.m)) {
		t.Fatal("snapshots of the same state differ")
	}
}

var _ = Describe("random command sequences", func() {
	// Guards against a state that breaks an invariant, differs from the model, or
	// differs after a restore from a snapshot.
	It("agree with the model and survive a restore", func() {
		rapid.Check(GinkgoT(), randomRun)
	})
})

// TestSoak repeats the random runs with new seeds for GERANIUM_SOAK_SECONDS.
func TestSoak(t *testing.T) {
	seconds, err := strconv.Atoi(os.Getenv("GERANIUM_SOAK_SECONDS"))
	if err != nil || seconds <= 0 {
		t.Skip("GERANIUM_SOAK_SECONDS is not set")
	}
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	for seed := uint64(1); time.Now().Before(end); seed++ {
		if err := flag.Set("rapid.seed", strconv.FormatUint(seed, 10)); err != nil {
			t.Fatal(err)
		}
		rapid.Check(t, randomRun)
	}
}
