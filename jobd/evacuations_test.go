package jobd

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/jobd/evacuationapi"
	"geraniumwall/relay"
)

// evacuationCall sends a request of the internal API for evacuations.
func evacuationCall(t *testing.T, method, address, domain, operator string) *http.Response {
	g := NewWithT(t)
	path := evacuationapi.Path
	if domain != "" {
		path += "/" + domain
	}
	q, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, nil)
	g.Expect(err).NotTo(HaveOccurred())
	q.Header.Set(evacuationapi.HeaderOperator, operator)
	response, err := http.DefaultClient.Do(q)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// Guards against an internal API that answers without the setting, that a follower executes,
// that accepts unknown or endless names, and that does not show who gave an order.
func TestEvacuationsOfTheInternalAPI(t *testing.T) {
	g := NewWithT(t)
	addresses, servers := startReplicas(t, 3)
	leader := -1
	g.Eventually(func() bool {
		for i := range servers {
			if membersAt(t, addresses[i]).Leads {
				leader = i
			}
		}
		return leader >= 0
	}, time.Minute, 50*time.Millisecond).Should(BeTrue())
	g.Expect(evacuationCall(t, http.MethodGet, addresses[leader], "", "").StatusCode).To(Equal(http.StatusNotFound))
	for _, s := range servers {
		s.settings.EvacuationApplyMS, s.settings.Domains = 5000, []string{"a", "b"}
	}

	refused := evacuationCall(t, http.MethodPut, addresses[1-leader], "a", "ada")
	g.Expect(refused.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(refused.Header.Get(relay.HeaderNotLeader)).To(Equal(addresses[leader]))
	for range 2 {
		g.Expect(evacuationCall(t, http.MethodPut, addresses[leader], "a", "ada").StatusCode).To(Equal(http.StatusOK))
	}
	g.Expect(evacuationCall(t, http.MethodDelete, addresses[leader], "b", "bob").StatusCode).To(Equal(http.StatusOK))
	g.Expect(evacuationCall(t, http.MethodPut, addresses[leader], "c", "ada").StatusCode).To(Equal(http.StatusUnprocessableEntity))
	g.Expect(evacuationCall(t, http.MethodPut, addresses[leader], "a", strings.Repeat("x", 256)).StatusCode).To(Equal(http.StatusBadRequest))

	var shown evacuationapi.Evacuations
	g.Expect(json.NewDecoder(evacuationCall(t, http.MethodGet, addresses[leader], "", "").Body).Decode(&shown)).To(Succeed())
	g.Expect(shown.InForce).To(HaveLen(1))
	g.Expect(shown.InForce[0].Domain).To(Equal("a"))
	g.Expect(shown.InForce[0].Operator).To(Equal("ada"))
	g.Expect(shown.Records).To(HaveLen(1))
	g.Expect(shown.Records[0].Action).To(Equal("evacuated"))
}
