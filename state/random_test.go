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

// referenceModel is an independent, minimal model of the guarantees that callers
// rely on.
type referenceModel struct {
	configVersion  uint64
	changeVersions map[string]uint64
	outcomes       map[string]*controlpb.Task
	attempts       map[string]*controlpb.Attempt
	epochs         map[string]uint64
	// holders maps the key of a request to the holder that runs it, or that ran it
	// with an outcome other than not_run.
	holders map[string]string
	// boundByFeed holds the bound tasks of each domain as a scheduler derives them
	// from the change feed, feedIndexes the index up to which it has read the feed.
	boundByFeed map[string]map[string]bool
	feedIndexes map[string]uint64
}

func newReferenceModel() *referenceModel {
	return &referenceModel{
		changeVersions: map[string]uint64{}, outcomes: map[string]*controlpb.Task{},
		attempts: map[string]*controlpb.Attempt{}, epochs: map[string]uint64{}, holders: map[string]string{},
		boundByFeed: map[string]map[string]bool{}, feedIndexes: map[string]uint64{},
	}
}

var (
	testDomains    = []string{"a", "b"}
	testSchedulers = []string{"s1", "s2"}
	testKeys       = []string{"k1", "k2", "k3"}
)

func drawFrom[T any](t *rapid.T, from []T) T { return rapid.SampledFrom(from).Draw(t, "pick") }

// drawUint draws a number from 0 to limit.
func drawUint(t *rapid.T, limit uint64) uint64 { return rapid.Uint64Range(0, limit).Draw(t, "number") }

// drawCommand draws a command whose preconditions often hold.
func drawCommand(t *rapid.T, m *Machine) *statepb.Command {
	domain := drawFrom(t, testDomains)
	d := m.Domain(domain)
	epoch := d.GetEpoch() - min(d.GetEpoch(), drawUint(t, 5)/5)
	id := fmt.Sprintf("t%d", 1+drawUint(t, 4))
	switch drawUint(t, 13) {
	case 0, 1:
		return submitCommand(drawFrom(t, testKeys))
	case 2:
		return cancelCommand(id)
	case 3, 4:
		return bindCommand(id, domain, epoch)
	case 5, 6, 7:
		task, _ := m.Task(id)
		a := attempt(task.GetAttempt().GetEpoch()+drawUint(t, 3)/3,
			task.GetAttempt().GetNumber()+drawUint(t, 2)-min(1, drawUint(t, 1)))
		return reportCommand(domain, d.GetActive(), epoch, id, drawFrom(t, allEventKinds), a)
	case 8:
		return appointCommand(domain, epoch, drawFrom(t, testSchedulers))
	case 9:
		return expireCommand(domain, epoch)
	}
	return drawRecordCommand(t, m)
}

func drawRecordCommand(t *rapid.T, m *Machine) *statepb.Command {
	key, holder := drawFrom(t, testKeys[:2]), drawFrom(t, []string{"h1", "h2", "h3"})
	switch drawUint(t, 5) {
	case 0, 1:
		return &statepb.Command{Kind: &statepb.Command_BeginRequest{BeginRequest: &controlpb.BeginRequestRequest{
			Caller: "c", IdempotencyKey: key, Holder: holder, BodyHash: []byte("h"), DeadlineMs: 1,
		}}}
	case 2:
		return &statepb.Command{Kind: &statepb.Command_EndRequest{EndRequest: &controlpb.EndRequestRequest{
			Caller: "c", IdempotencyKey: key, Holder: holder,
			Outcome: &controlpb.RequestOutcome{Outcome: drawFrom(t, []string{"done", "failed", "not_run"})},
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
		ChangeId: fmt.Sprint("change", drawUint(t, 9)), BaseVersion: base - min(base, drawUint(t, 2)/2), Author: "o",
	}}}
}

// check compares the response to a command and the resulting state with the model.
func (ref *referenceModel) check(t *rapid.T, m *Machine, c *statepb.Command, resp proto.Message, err error) {
	switch k := c.GetKind().(type) {
	case *statepb.Command_ApplyConfig:
		ref.checkConfig(t, k.ApplyConfig, resp.(*controlpb.ApplyConfigResponse))
	case *statepb.Command_Bind:
		b := k.Bind.GetBindings()[0]
		if b.GetIfEpoch() != ref.epochs[b.GetDomain()] && resp.(*statepb.BindResult).GetBound() != 0 {
			t.Fatalf("bound under epoch %d, but the domain has epoch %d", b.GetIfEpoch(), ref.epochs[b.GetDomain()])
		}
	case *statepb.Command_BeginRequest:
		ref.checkBegin(t, k.BeginRequest, resp.(*controlpb.BeginRequestResponse))
	case *statepb.Command_EndRequest:
		if err == nil && k.EndRequest.GetOutcome().GetOutcome() == "not_run" {
			delete(ref.holders, k.EndRequest.GetIdempotencyKey())
		}
	}
	ref.checkTasks(t, m)
	for _, domain := range testDomains {
		ref.checkDomain(t, m, domain)
	}
	if err := VerifyAudit(m.Audit(0, 1<<20, "", "")); err != nil {
		t.Fatal(err)
	}
}

func (ref *referenceModel) checkConfig(t *rapid.T, c *controlpb.ApplyConfigRequest, resp *controlpb.ApplyConfigResponse) {
	first, known := ref.changeVersions[c.GetChangeId()]
	accept := !known && c.GetBaseVersion() == ref.configVersion
	if accept {
		ref.configVersion++
		first = ref.configVersion
		ref.changeVersions[c.GetChangeId()] = first
	}
	if resp.GetAccepted() != (known || accept) || resp.GetRepeated() != known {
		t.Fatalf("change %s with base %d at version %d: unexpected response %v", c.GetChangeId(), c.GetBaseVersion(), ref.configVersion, resp)
	}
	if resp.GetAccepted() && resp.GetVersion() != first {
		t.Fatalf("change %s has version %d, not %d", c.GetChangeId(), resp.GetVersion(), first)
	}
}

func (ref *referenceModel) checkBegin(t *rapid.T, c *controlpb.BeginRequestRequest, resp *controlpb.BeginRequestResponse) {
	if resp.GetState() != controlpb.RequestState_REQUEST_STATE_STARTED {
		return
	}
	if holder, runs := ref.holders[c.GetIdempotencyKey()]; runs && holder != c.GetHolder() {
		t.Fatalf("%s was started by %s although it may have run for %s", c.GetIdempotencyKey(), c.GetHolder(), holder)
	}
	ref.holders[c.GetIdempotencyKey()] = c.GetHolder()
}

func (ref *referenceModel) checkTasks(t *rapid.T, m *Machine) {
	for id, r := range m.tasks.byID {
		task := r.GetTask()
		if first := ref.outcomes[id]; first != nil && first != task {
			t.Fatalf("%s has two outcomes: %v and %v", id, first, task)
		}
		if Ended(task) {
			ref.outcomes[id] = task
		}
		if before := ref.attempts[id]; before != nil && task.GetAttempt().GetEpoch() == before.GetEpoch() &&
			task.GetAttempt().GetNumber() < before.GetNumber() {
			t.Fatalf("%s: attempt went backwards from %v to %v", id, before, task.GetAttempt())
		}
		ref.attempts[id] = task.GetAttempt()
		if task.GetState() == taskBound && task.GetEpoch() > m.Domain(task.GetDomain()).GetEpoch() {
			t.Fatalf("%s is bound to an epoch that its domain never had", id)
		}
	}
}

// checkDomain checks the epoch of a domain and reads its change feed as a scheduler
// does.
func (ref *referenceModel) checkDomain(t *rapid.T, m *Machine, domain string) {
	if e := m.Domain(domain).GetEpoch(); e < ref.epochs[domain] {
		t.Fatalf("epoch of %s decreased", domain)
	}
	ref.epochs[domain] = m.Domain(domain).GetEpoch()
	tasks, complete := m.TasksAfter(domain, ref.feedIndexes[domain])
	if complete {
		ref.boundByFeed[domain] = map[string]bool{}
	}
	for _, task := range tasks {
		delete(ref.boundByFeed[domain], task.GetId())
		if task.GetState() == taskBound && task.GetDomain() == domain {
			ref.boundByFeed[domain][task.GetId()] = true
		}
	}
	ref.feedIndexes[domain] = m.Index()
	if len(ref.boundByFeed[domain]) != m.BoundCount(domain) {
		t.Fatalf("the feed of %s yields the bound tasks %v, but %d are bound", domain, ref.boundByFeed[domain], m.BoundCount(domain))
	}
}

// checkRandomCommands applies random commands to two state machines and checks the
// first against the reference model. The second one is occasionally replaced by its
// restored snapshot and must give the same responses and the same final state.
func checkRandomCommands(t *rapid.T) {
	d := driver{New()}
	restarted := driver{New()}
	ref := newReferenceModel()
	for range rapid.IntRange(20, 120).Draw(t, "steps") {
		c := drawCommand(t, d.m)
		resp, err := d.apply(c)
		restartedResp, restartedErr := restarted.apply(c)
		if !proto.Equal(resp, restartedResp) || fmt.Sprint(err) != fmt.Sprint(restartedErr) {
			t.Fatalf("%v: responses differ: %v %v, %v %v", c, resp, err, restartedResp, restartedErr)
		}
		ref.check(t, d.m, c, resp, err)
		if drawUint(t, 20) == 0 {
			restored, err := Restore(mustEncodeSnapshot(restarted.m))
			if err != nil {
				t.Fatal(err)
			}
			restarted.m = restored
		}
	}
	if !bytes.Equal(mustEncodeSnapshot(d.m), mustEncodeSnapshot(restarted.m)) {
		t.Fatal("snapshots of the same state differ")
	}
}

var _ = Describe("random command sequences", func() {
	// Guards against a state that violates an invariant, differs from the model, or
	// changes when it is restored from a snapshot.
	It("agree with the model and survive a restore", func() {
		rapid.Check(GinkgoT(), checkRandomCommands)
	})
})

// TestSoak repeats checkRandomCommands with new seeds for GERANIUM_SOAK_SECONDS.
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
		rapid.Check(t, checkRandomCommands)
	}
}
