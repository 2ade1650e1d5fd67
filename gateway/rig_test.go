package gateway

import (
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"geraniumwall/routing"
	"geraniumwall/transport"
	"geraniumwall/workerapi"
)

var discardLog = log.New(io.Discard, "", 0)

// serveOn serves a handler on a free loopback port and returns its address.
func serveOn(h http.Handler) string {
	s := httptest.NewUnstartedServer(nil)
	s.Config = transport.NewServer(h)
	s.Start()
	DeferCleanup(s.CloseClientConnections)
	return strings.TrimPrefix(s.URL, "http://")
}

func (r *rig) usable() int {
	usable := 0
	r.balancer.read(func(t *routing.Table, now time.Duration) { usable, _ = t.Usable(now) })
	return usable
}

func (r *rig) outstanding() int {
	n := 0
	r.balancer.read(func(t *routing.Table, _ time.Duration) { n = t.Outstanding() })
	return n
}

// synced waits until a sync that began after the call is in force.
func (r *rig) synced() {
	before := r.scheduler.syncs()
	Eventually(r.scheduler.syncs).WithTimeout(5 * time.Second).Should(BeNumerically(">", before+1))
}

// reply is what a caller got.
type reply struct {
	status     int
	outcome    workerapi.Outcome
	body       string
	requestID  string
	retryAfter string
	err        error
}

// post sends a request with headers given as name, value, name, value.
func (r *rig) post(path, body string, headers ...string) reply {
	return send(r.url+path, strings.NewReader(body), headers...)
}

func send(url string, body io.Reader, headers ...string) reply {
	request, err := http.NewRequest(http.MethodPost, url, body)
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode, outcome: workerapi.Outcome(response.Header.Get(workerapi.HeaderOutcome)),
		body: string(text), requestID: response.Header.Get(workerapi.HeaderRequestID),
		retryAfter: response.Header.Get("Retry-After"), err: err,
	}
}

func (r *rig) quote(body string, headers ...string) reply {
	return r.post("/v1/call/quote", body, headers...)
}

func (r *rig) hold(key, body string, headers ...string) reply {
	return r.post("/v1/call/hold", body, append(headers, workerapi.HeaderIdempotent, key)...)
}
