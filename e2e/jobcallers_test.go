package e2e_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"geraniumwall/platform/standin"
)

const (
	jobCallTimeout = 3 * time.Second
	// submitTries bounds the attempts of a caller to submit a job.
	submitTries = 6
	jobPolling  = 200 * time.Millisecond
	// jobPatience is how long a caller follows one job before it begins another.
	jobPatience = 4 * time.Second
)

// jobCaller submits jobs one after the other over connections that stay open, as
// long as the process at their end lives.
type jobCaller struct {
	f      *jobFleet
	number int
	random *rand.Rand
	client *http.Client
	jobs   int

	mu sync.Mutex
	// accepted are the acknowledged jobs that nobody has cancelled. done are those that
	// were shown as done.
	accepted map[string]bool
	done     map[string]bool
}

func newJobCaller(f *jobFleet, seed uint64, number int) *jobCaller {
	return &jobCaller{
		f: f, number: number, random: rand.New(rand.NewPCG(seed, uint64(number))), //nolint:gosec // a test
		client: &http.Client{Timeout: jobCallTimeout, Transport: &http.Transport{}}, accepted: map[string]bool{}, done: map[string]bool{},
	}
}

// call sends a request to one of the entries and returns the status, 0 for none.
func (c *jobCaller) call(method, id, body string) (int, string) {
	front := c.f.fronts[c.random.IntN(len(c.f.fronts))]
	return send(c.client, method, "http://"+front+"/p/"+id, "h", body)
}

func send(client *http.Client, method, url, host, body string) (int, string) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if host != "" {
		request.Host = host
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

func (c *jobCaller) run(until time.Time) {
	for time.Now().Before(until) {
		c.jobs++
		id := fmt.Sprintf("%08x%08x", c.number+1, c.jobs)
		lasting := c.random.IntN(8) == 0
		body := c.draw(id, lasting)
		if !c.submit(id, body) {
			continue
		}
		if lasting || c.random.IntN(10) == 0 {
			time.Sleep(time.Duration(c.random.IntN(1500)) * time.Millisecond)
			c.cancel(id)
			continue
		}
		for patience := time.Now().Add(jobPatience); time.Now().Before(patience) && c.state(id) != "done"; {
			time.Sleep(jobPolling)
		}
	}
}

// draw makes a job and tells the record of it.
func (c *jobCaller) draw(id string, lasting bool) string {
	payload := fmt.Sprint(50 + c.random.IntN(900))
	steps := 1 + c.random.IntN(3)
	if lasting {
		payload, steps = "0", 1
	}
	var known []standin.Step
	var sent []map[string]any
	for i := range steps {
		step := standin.Step{Count: 1 + c.random.IntN(4), MilliCPU: 500 + 500*c.random.Int64N(3), Lasting: lasting}
		one := map[string]any{"count": step.Count, "cpu": step.MilliCPU, "mem-mb": 10, "estimate-ms": 500, "long-running": lasting}
		if i > 0 {
			step.DependsOn = []int{i - 1}
			one["depends-on"] = step.DependsOn
		}
		known, sent = append(known, step), append(sent, one)
	}
	c.f.record.Submitted(id, payload, known)
	body, err := json.Marshal(map[string]any{"spec": payload, "phases": sent})
	if err != nil {
		panic(err)
	}
	return string(body)
}

// submit reports whether the job was acknowledged.
func (c *jobCaller) submit(id, body string) bool {
	refused := true
	for range submitTries {
		status, _ := c.call(http.MethodPost, id, body)
		switch status {
		case http.StatusOK:
			c.mu.Lock()
			c.accepted[id] = true
			c.mu.Unlock()
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound:
		default:
			refused = false
		}
		time.Sleep(time.Duration(100+c.random.IntN(500)) * time.Millisecond)
	}
	if refused {
		c.f.record.Refused(id)
	}
	return false
}

func (c *jobCaller) cancel(id string) {
	c.mu.Lock()
	delete(c.accepted, id)
	c.mu.Unlock()
	for range submitTries {
		if status, _ := c.call(http.MethodDelete, id, ""); status == http.StatusOK || status == http.StatusGone {
			c.f.record.Cancelled(id)
			return
		}
		time.Sleep(jobPolling)
	}
}

// state returns the state that a job is shown in, empty for no answer, and checks
// that it is known and stays done.
func (c *jobCaller) state(id string) string {
	status, body := c.call(http.MethodGet, id, "")
	var shown struct {
		State string `json:"state"`
	}
	switch {
	case status == http.StatusGone:
		c.f.record.Breach("accepted job %s is not known", id)
		return ""
	case status != http.StatusOK || json.Unmarshal([]byte(body), &shown) != nil:
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case shown.State == "done" && !c.done[id]:
		c.done[id] = true
		c.f.record.Done(id)
	case shown.State != "done" && c.done[id]:
		c.f.record.Breach("job %s was done and is shown as %s", id, shown.State)
	case shown.State == "failed" || shown.State == "cancelled":
		c.f.record.Breach("job %s is shown as %s without cause", id, shown.State)
	}
	return shown.State
}

// open returns the accepted jobs that were not shown as done.
func (c *jobCaller) open() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for id := range c.accepted {
		if !c.done[id] {
			list = append(list, id)
		}
	}
	return list
}

// jobOperator changes the configuration and reads it back at all replicas.
type jobOperator struct {
	f       *jobFleet
	random  *rand.Rand
	client  *http.Client
	version int64
	// acknowledged is the highest version with an acknowledgement.
	acknowledged int64
}

const jobConfig = `{"version":%d,"routes":[{"name":"r","host":"h","path-prefix":"/p/","timeout-ms":3000,"target-latency-ms":1000,` +
	`"service":"s","max-attempts":50,"stretch":3}],"services":[{"name":"s"}],"limits":{"max-body-bytes":100000}}`

func (o *jobOperator) run(until time.Time) {
	for time.Now().Before(until) {
		o.change()
		for range 4 {
			o.read()
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// change sends the next version until it is acknowledged or has failed often.
func (o *jobOperator) change() {
	o.version++
	for range submitTries {
		address := o.f.control[o.random.IntN(len(o.f.control))]
		status, body := send(o.client, http.MethodPut, "http://"+address+"/config", "", fmt.Sprintf(jobConfig, o.version))
		if status == http.StatusOK {
			o.acknowledged = o.version
			return
		}
		if status >= 400 && status < 500 {
			o.f.record.Breach("configuration %d is refused with %d: %s", o.version, status, body)
		}
		time.Sleep(jobPolling)
	}
}

// read checks that no replica shows a configuration older than an acknowledged one.
// It reports whether it got an answer.
func (o *jobOperator) read() bool {
	address := o.f.control[o.random.IntN(len(o.f.control))]
	status, body := send(o.client, http.MethodGet, "http://"+address+"/config", "", "")
	var shown struct {
		Version int64 `json:"version"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(body), &shown) != nil {
		return false
	}
	if shown.Version < o.acknowledged {
		o.f.record.Breach("%s shows configuration %d after the acknowledgement of %d", address, shown.Version, o.acknowledged)
	}
	return true
}
