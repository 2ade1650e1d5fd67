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
