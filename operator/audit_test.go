package operator_test

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/operator"
	"geraniumwall/operatorapi"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/state"
)

// auditTrail is a valid trail that is longer than two pages.
func auditTrail() []operatorapi.AuditRecord {
	const records = 2100
	var list []operatorapi.AuditRecord
	var previous []byte
	for i := uint64(1); i <= records; i++ {
		r := &controlpb.AuditRecord{Sequence: i, Actor: "a", Action: "evict", Subject: "t" + strconv.FormatUint(i, 10), PreviousHash: previous}
		hash := state.AuditHash(r)
		list = append(list, operatorapi.AuditRecord{
			Sequence: i, Actor: r.Actor, Action: r.Action, Subject: r.Subject,
			PreviousHash: hex.EncodeToString(previous), Hash: hex.EncodeToString(hash),
		})
		previous = hash
	}
	return list
}

func serveTrail(trail []operatorapi.AuditRecord) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
		start := slices.IndexFunc(trail, func(r operatorapi.AuditRecord) bool { return r.Sequence > after })
		page := []operatorapi.AuditRecord{}
		if start >= 0 {
			page = trail[start:min(len(trail), start+limit)]
		}
		_ = json.NewEncoder(w).Encode(page)
	}
}

var _ = Describe("VerifyAudit", func() {
	It("accepts an intact trail over several pages", func(ctx context.Context) {
		trail := auditTrail()
		summary, err := clientOf(serveTrail(trail)).VerifyAudit(ctx, operator.Anchor{Sequence: 7, Hash: trail[6].Hash})
		Expect(err).NotTo(HaveOccurred())
		Expect(summary.Records).To(Equal(len(trail)))
		Expect(summary.LastHash).To(Equal(trail[len(trail)-1].Hash))
	})

	DescribeTable("names the first fault", func(ctx context.Context, fault func([]operatorapi.AuditRecord) []operatorapi.AuditRecord, text string) {
		_, err := clientOf(serveTrail(fault(auditTrail()))).VerifyAudit(ctx, operator.Anchor{Sequence: 2100, Hash: "00"})
		Expect(err).To(MatchError(ContainSubstring(text)))
	},
		Entry("an edited field", func(t []operatorapi.AuditRecord) []operatorapi.AuditRecord {
			t[1500].Actor = "b"
			return t
		}, "audit record 1501 was edited"),
		Entry("a record removed at the border of two pages", func(t []operatorapi.AuditRecord) []operatorapi.AuditRecord {
			return slices.Delete(t, 1000, 1001)
		}, "audit record 1002 does not follow record 1000"),
		Entry("records removed at the end", func(t []operatorapi.AuditRecord) []operatorapi.AuditRecord {
			return t[:2000]
		}, "ends at record 2000"),
		Entry("a trail that was rewritten", func(t []operatorapi.AuditRecord) []operatorapi.AuditRecord { return t }, "differs from the anchor"),
	)
})
