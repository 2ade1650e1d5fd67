package state

import (
	"flag"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"geraniumwall/rpc/controlpb"
	"geraniumwall/state/statepb"
)

func TestState(t *testing.T) {
	// A fixed seed makes the random tests reproducible.
	Expect := NewWithT(t).Expect
	Expect(flag.Set("rapid.seed", "20261204")).To(Succeed())
	Expect(flag.Set("rapid.nofailfile", "true")).To(Succeed())
	RegisterFailHandler(Fail)
	RunSpecs(t, "state")
}

// driver encodes and decodes commands and applies them at consecutive indexes.
type driver struct{ m *Machine }

func (d driver) apply(c *statepb.Command) (proto.Message, error) {
	data, err := Encode(c)
	if err != nil {
		panic(err)
	}
	decoded, err := Decode(data)
	if err != nil {
		panic(err)
	}
	return d.m.Apply(d.m.Index()+1, decoded)
}

func (d driver) mustApply(c *statepb.Command) proto.Message {
	resp, err := d.apply(c)
	if err != nil {
		panic(err)
	}
	return resp
}

func submitCommand(key string) *statepb.Command {
	return &statepb.Command{Kind: &statepb.Command_Submit{Submit: &controlpb.SubmitTasksRequest{
		Tasks: []*controlpb.TaskSpec{{Caller: "c", IdempotencyKey: key, Job: "cut"}},
	}}}
}

func appointCommand(domain string, ifEpoch uint64, scheduler string) *statepb.Command {
	return &statepb.Command{Kind: &statepb.Command_Appoint{Appoint: &statepb.Appoint{
		Domain: domain, IfEpoch: ifEpoch, Scheduler: scheduler, Clean: true,
	}}}
}

func bindCommand(task, domain string, epoch uint64) *statepb.Command {
	return &statepb.Command{Kind: &statepb.Command_Bind{Bind: &statepb.Bind{
		Bindings: []*statepb.Binding{{Task: task, Domain: domain, IfEpoch: epoch}},
	}}}
}

func cancelCommand(id string) *statepb.Command {
	return &statepb.Command{Kind: &statepb.Command_Cancel{Cancel: &controlpb.CancelTasksRequest{Ids: []string{id}}}}
}

func reportCommand(
	domain, scheduler string, epoch uint64, id string, kind controlpb.TaskEventKind, a *controlpb.Attempt,
) *statepb.Command {
	return &statepb.Command{Kind: &statepb.Command_Report{Report: &controlpb.ReportTasksRequest{
		Domain: domain, Scheduler: scheduler, Epoch: epoch,
		Events: []*controlpb.TaskEvent{{Id: id, Kind: kind, Attempt: a, Result: []byte(fmt.Sprint(kind))}},
	}}}
}

func attempt(epoch, number uint64) *controlpb.Attempt {
	return &controlpb.Attempt{Epoch: epoch, Number: number}
}

func mustEncodeSnapshot(m *Machine) []byte {
	data, err := m.Capture().Encode()
	if err != nil {
		panic(err)
	}
	return data
}
