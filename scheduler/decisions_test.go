package scheduler

import (
	"fmt"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("Decisions", func() {
	// Guards against a decision store that grows with the load, or that explains a longer
	// or shorter period than the help of geranium explain states.
	ginkgo.It("are kept for an hour within a limit on their number and size", func() {
		c := activeCore(0)
		for i := range maxDecisions + 10 {
			at := time.Duration(i) * time.Second / 4
			c.recordDecision(at, Decision{Subject: fmt.Sprint("t", i), Reason: strings.Repeat("x", 10*maxReasonBytes)})
		}
		Expect(c.decisions.ring).To(HaveLen(maxDecisions))
		newest := time.Duration(maxDecisions+9) * time.Second / 4
		kept := c.Explain(newest, "", 2*maxDecisions)
		Expect(kept).NotTo(HaveLen(maxDecisions))
		Expect(newest - kept[len(kept)-1].At).To(Equal(DecisionsKept))
		Expect(len(kept[0].Reason)).To(BeNumerically("<=", maxReasonBytes+3))
		Expect(c.Explain(newest, "t1", 1)).To(BeEmpty())
		Expect(c.Explain(newest, fmt.Sprint("t", maxDecisions+9), 1)).To(HaveLen(1))
	})
})
