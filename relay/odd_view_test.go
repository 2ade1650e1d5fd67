package relay_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/relay"
)

// oddViews are bodies that no replica sends as its view.
var oddViews = map[string]string{
	"nothing":                 ``,
	"a list":                  `[]`,
	"null":                    `null`,
	"a number for the leader": `{"leader":7}`,
	"deep nesting":            `{"members":` + strings.Repeat("[", 2_000_000),
	"a port out of range":     `{"leader":"127.0.0.1:99999","members":["127.0.0.1:99999"]}`,
	"no port":                 `{"leader":"127.0.0.1","members":["127.0.0.1"]}`,
	"a NUL":                   `{"leader":"127.0.0.1\u0000:1","members":["127.0.0.1\u0000:1"]}`,
	"empty members":           `{"leader":"","members":["","",""]}`,
	"a URL":                   `{"leader":"http://127.0.0.1:1/x?y#z","members":["%zz","::::"]}`,
	"many members":            `{"leader":"","members":["x:1"` + strings.Repeat(`,"x:1"`, 100_000) + `]}`,
	"a long leader":           `{"leader":"` + strings.Repeat("x", 1<<20) + `:1"}`,
}

var _ = Describe("Relay beside a replica with odd views", func() {
	for name, view := range oddViews {
		for _, hint := range []string{"", "127.0.0.1:99999", "x y:1"} {
			// Guards against a front that ends, or finds no leader any more, by what a replica
			// tells it.
			It(fmt.Sprintf("reaches the leader past %s and the hint %q", name, hint), func() {
				leader, odd := newFakeReplica(), newFakeReplica()
				leader.view = relay.ClusterView{IsLeader: true, Leader: leader.address(), Members: []string{leader.address(), odd.address()}}
				leader.serve = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }
				odd.rawView = view
				odd.serve = func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set(relay.HeaderNotLeader, hint)
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				r := relay.New([]string{leader.address(), odd.address()}, nil)
				for range 3 {
					response, err := r.Send(withTimeout(3*time.Second), request)
					Expect(err).NotTo(HaveOccurred())
					Expect(response.Status).To(Equal(http.StatusOK))
					r.Refresh(withTimeout(time.Second))
				}
			})
		}
	}
})

var _ = Describe("Relay with limits", func() {
	// Guards against limits of a configuration that don't reach the process, and against odd
	// ones that would refuse every caller.
	It("takes the limits that a leader names, unless they are odd", func() {
		leader := newFakeReplica()
		leader.rawView = fmt.Sprintf(`{"leader":%q,"leads":true,"limits":{"max_header_bytes":16384,"max_body_bytes":100}}`, leader.address())
		r := relay.New([]string{leader.address()}, nil)
		r.Refresh(withTimeout(5 * time.Second))
		Eventually(func() int64 { r.Refresh(withTimeout(time.Second)); return r.Limits().MaxBodyBytes }).Should(BeEquivalentTo(100))
		leader.rawView = fmt.Sprintf(`{"leader":%q,"leads":true,"limits":{"max_header_bytes":1,"max_body_bytes":-1}}`, leader.address())
		r.Refresh(withTimeout(time.Second))
		Expect(r.Limits().MaxHeaderBytes).To(BeEquivalentTo(16_384))
	})
})
