package jobd

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a member that can never be reached: it would count among the replicas.
func TestJoinRefusesOddRequests(t *testing.T) {
	g := NewWithT(t)
	for _, body := range []string{
		``, `[]`, `null`, `{"address":7}`, `{"address":""}`, `{"address":"10.0.0.1"}`, `{"address":":80"}`, `{"address":"10.0.0.1:0"}`,
		`{"address":"10.0.0.1:99999"}`, `{"address":"10.0.0.1:-1"}`, `{"address":"10.0.0 .1:80"}`, `{"address":"10.0.0.1\u0000:80"}`,
		`{"address":"x/y:80"}`, `{"x":` + strings.Repeat("[", 2_000_000),
	} {
		_, err := decodeJoin(strings.NewReader(body))
		g.Expect(err).To(HaveOccurred(), "%.80s", body)
	}
	q, err := decodeJoin(strings.NewReader(`{"address":"[2001:db8::1]:7000","domain":"d","nonce":"n","first_start":true}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(q).To(Equal(joinRequest{Address: "[2001:db8::1]:7000", Domain: "d", Nonce: "n", FirstStart: true}))
}
