package control

import (
	"testing"

	. "github.com/onsi/gomega"

	"geraniumwall/rpc/controlpb"
	"geraniumwall/transport"
)

// TestEveryMethodHasARule guards against a new method that every caller is refused
// once keys are in use, and against one that workers may call.
func TestEveryMethodHasARule(t *testing.T) {
	g := NewWithT(t)
	methods := controlpb.File_rpc_controlpb_control_proto.Services().ByName("Control").Methods()
	for i := range methods.Len() {
		name := string(methods.Get(i).Name())
		g.Expect(admitted[controlpb.ControlPathPrefix+name]).To(And(Not(BeEmpty()), Not(ContainElement(transport.RoleWorker))), name)
	}
}
