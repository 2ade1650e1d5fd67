package operator_test

import (
	"context"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/jobd/evacuationapi"
	"geraniumwall/operator"
	"geraniumwall/relay"
)

var _ = Describe("Evacuations", func() {
	// notLeader answers as a replica that names another one as the leader.
	notLeader := func(leader string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(relay.HeaderNotLeader, leader)
			http.Error(w, "not the leader", http.StatusServiceUnavailable)
		}
	}

	// Guards against an order that ends at a replica which does not lead, or that reaches the
	// leader without its domain or its operator.
	It("are ordered at the leader that a replica names", func(ctx context.Context) {
		var seen []string
		leader := clientOf(func(w http.ResponseWriter, r *http.Request) {
			seen = append(seen, r.Method+" "+r.URL.EscapedPath()+" "+r.Header.Get(evacuationapi.HeaderOperator))
			_, _ = w.Write([]byte(`{"domain":"bern/a","evacuated":true}`))
		}).Gateways[0]
		follower := clientOf(notLeader(leader)).Gateways[0]
		for _, evacuated := range []bool{true, false} {
			_, err := operator.Evacuate(ctx, follower, "bern/a", "ada", evacuated)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(seen).To(Equal([]string{"PUT /v1/evacuations/bern%2Fa ada", "DELETE /v1/evacuations/bern%2Fa ada"}))
	})

	// Guards against a call without end, or an order that is reported as in force, when no
	// replica leads.
	It("are refused without a leader", func(ctx context.Context) {
		_, err := operator.Evacuate(ctx, clientOf(notLeader("")).Gateways[0], "a", "ada", true)
		Expect(err).To(MatchError(ContainSubstring("knows no leader and did nothing")))
		first := clientOf(notLeader("")).Gateways[0]
		second := clientOf(notLeader(first)).Gateways[0]
		_, err = operator.Evacuate(ctx, second, "a", "ada", true)
		Expect(err).To(MatchError(ContainSubstring("knows no leader")))
		_, err = operator.Evacuate(ctx, clientOf(answered(422, "no domain x; the known ones are a")).Gateways[0], "x", "ada", true)
		Expect(err).To(MatchError(ContainSubstring("the known ones are a")))
	})

	// Guards against a table without what is in force or without the audit records.
	It("are shown with the audit records", func(ctx context.Context) {
		shown, err := operator.Evacuations(ctx, clientOf(answered(200, `{"in_force":[{"domain":"a","operator":"ada","since_ms":1000,"workers":12}],
			"records":[{"number":7,"at_ms":1000,"domain":"a","action":"evacuated","replica":"jobs-1"}]}`)).Gateways[0])
		Expect(err).NotTo(HaveOccurred())
		var text strings.Builder
		Expect(operator.WriteEvacuations(&text, shown)).To(Succeed())
		Expect(text.String()).To(And(MatchRegexp(`(?m)^a +1970-01-01T00:00:01Z +ada +12$`),
			MatchRegexp(`(?m)^7 +1970-01-01T00:00:01Z +a +evacuated +- +jobs-1$`)))
	})
})
