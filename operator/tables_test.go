package operator_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/operator"
	"geraniumwall/operatorapi"
	"geraniumwall/rpc/controlpb"
)

var _ = Describe("WriteStatus", func() {
	status := func(states ...string) string {
		c := &controlpb.StatusResponse{Confirmed: true}
		for i, state := range states {
			c.Replicas = append(c.Replicas, &controlpb.ReplicaStatus{
				Id: uint64(i + 1), Domain: "d", Address: "a", Voter: i < 3, State: state, SilenceMs: int64(i) * 1000,
			})
		}
		var text strings.Builder
		Expect(operator.WriteStatus(&text, operatorapi.Status{Control: c}, false)).To(Succeed())
		return text.String()
	}

	// Guards against an operator who can't see that one more loss stops the log, and which
	// replica to replace.
	It("shows the voters that answer and the silence of each replica", func() {
		text := status("leader", "silent", "answers", "answers")
		Expect(text).To(ContainSubstring("replicas 4, voters 3, answering voters 2, quorum 2"))
		Expect(text).To(MatchRegexp(`2 +d +a +true +0 +silent +1000\n`))
		Expect(text).To(MatchRegexp(`4 +d +a +false +0 +answers +3000\n`))
		Expect(status("leader", "unknown", "answers")).To(ContainSubstring("answering voters 2,"))
		Expect(status("", "", "")).To(ContainSubstring("voters 3, answering voters -, quorum 2"))
	})
})
