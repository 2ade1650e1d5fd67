package e2e_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
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
	// accepted are the acknowledged jobs that nobody has cancelled, with their kind. ended
	// are those that were shown as done or failed, with that state.
	accepted map[string]jobKind
	ended    map[string]string
	// drawn are the kinds of which a caller submits one job only.
	drawn map[jobKind]bool
}

// jobKind is what the tasks of a job do.
type jobKind int

const (
	// kindShort jobs end as done; a few are cancelled.
	kindShort jobKind = iota
	// kindLasting jobs last until they are cancelled.
	kindLasting
	// kindKept jobs last to the end of the test. Their first attempts fail.
	kindKept
	// kindDeadly jobs crash the workers that start them.
	kindDeadly
)

func newJobCaller(f *jobFleet, seed uint64, number int) *jobCaller {
	return &jobCaller{
		f: f, number: number, random: rand.New(rand.NewPCG(seed, uint64(number))), //nolint:gosec // a test
		client:   &http.Client{Timeout: jobCallTimeout, Transport: &http.Transport{}},
		accepted: map[string]jobKind{}, ended: map[string]string{}, drawn: map[jobKind]bool{},
	}
}

// call sends a request to one of the entries and returns the status, 0 for none.
func (c *jobCaller) call(method, id, body string) (int, string) {
	i := c.random.IntN(len(c.f.fronts))
	begin := time.Now()
	trace := &requestTrace{}
	status, answer := sendTraced(c.client, method, "http://"+c.f.fronts[i]+"/p/"+id, "h", body, trace)
	if lost := trace.lost(); lost != nil && c.f.entries[i].calmSince(begin) {
		c.f.record.Breach("%s %s: %s closed the connection %v after the whole request was sent, with no answer: %v",
			method, id, c.f.entries[i].name, lost.after, lost.err)
	}
	return status, answer
}

func send(client *http.Client, method, url, host, body string) (int, string) {
	return sendTraced(client, method, url, host, body, &requestTrace{})
}

func sendTraced(client *http.Client, method, url, host, body string, trace *requestTrace) (int, string) {
	request, err := http.NewRequestWithContext(trace.context(), method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if host != "" {
		request.Host = host
	}
	response, err := client.Do(request)
	if err != nil {
		trace.failed(err)
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		trace.failed(err)
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

func (c *jobCaller) run(until time.Time) {
	for time.Now().Before(until) {
		c.jobs++
		id := fmt.Sprintf("%08x%08x", c.number+1, c.jobs)
		kind := c.drawKind()
		payload, steps := c.draw(kind)
		if !c.submit(id, kind, c.offer(id, payload, steps)) || kind == kindKept {
			continue
		}
		if kind == kindLasting || kind == kindShort && c.random.IntN(10) == 0 {
			time.Sleep(time.Duration(c.random.IntN(1500)) * time.Millisecond)
			c.cancel(id)
			continue
		}
		for patience := time.Now().Add(jobPatience); time.Now().Before(patience) && !c.hasEnded(id); {
			c.state(id)
			time.Sleep(jobPolling)
		}
	}
}

// drawKind draws the kind of the next job.
func (c *jobCaller) drawKind() jobKind {
	kind := kindShort
	switch draw := c.random.IntN(16); {
	case draw < 2:
		kind = kindLasting
	case draw < 4:
		kind = kindKept
	case draw < 5:
		kind = kindDeadly
	}
	if (kind == kindKept || kind == kindDeadly) && c.drawn[kind] {
		return kindShort
	}
	c.drawn[kind] = true
	return kind
}

// draw makes a job of a kind.
func (c *jobCaller) draw(kind jobKind) (standin.Payload, []standin.Step) {
	after := time.Duration(50+c.random.IntN(900)) * time.Millisecond
	count, milliCPU := 1+c.random.IntN(4), 500+500*c.random.Int64N(3)
	switch kind {
	case kindLasting:
		return standin.Payload{}, []standin.Step{{Count: count, MilliCPU: milliCPU, Lasting: true}}
	case kindKept:
		// They are small enough to find room beside everything else.
		return standin.Payload{After: after, FailingAttempts: 3}, []standin.Step{{Count: 1 + count%2, MilliCPU: 500, Lasting: true}}
	case kindDeadly:
		return standin.Payload{After: after * time.Duration(c.random.IntN(2)), Deadly: true}, []standin.Step{{Count: 1 + count%2, MilliCPU: milliCPU}}
	case kindShort:
	}
	steps := []standin.Step{{Count: count, MilliCPU: milliCPU}}
	for i := range c.random.IntN(3) {
		steps = append(steps, standin.Step{Count: 1 + c.random.IntN(4), MilliCPU: 500 + 500*c.random.Int64N(3), DependsOn: []int{i}})
	}
	return standin.Payload{After: after}, steps
}

// offer tells the record of a job and returns its submission.
func (c *jobCaller) offer(id string, payload standin.Payload, steps []standin.Step) string {
	c.f.record.Submitted(id, payload.String(), steps)
	var sent []map[string]any
	for _, step := range steps {
		one := map[string]any{"count": step.Count, "cpu": step.MilliCPU, "mem-mb": 10, "estimate-ms": 500, "long-running": step.Lasting}
		if step.DependsOn != nil {
			one["depends-on"] = step.DependsOn
		}
		sent = append(sent, one)
	}
	body, err := json.Marshal(map[string]any{"spec": payload.String(), "phases": sent})
	if err != nil {
		panic(err)
	}
	return string(body)
}

// submit reports whether the job was acknowledged.
func (c *jobCaller) submit(id string, kind jobKind, body string) bool {
	refused := true
	for range submitTries {
		status, _ := c.call(http.MethodPost, id, body)
		switch status {
		case http.StatusOK:
			c.mu.Lock()
			c.accepted[id] = kind
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

// shownState asks for the state of a job. ok is false without an answer that tells it.
func (c *jobCaller) shownState(id string) (status int, state string, ok bool) {
	status, body := c.call(http.MethodGet, id, "")
	var shown struct {
		State string `json:"state"`
	}
	ok = status == http.StatusOK && json.Unmarshal([]byte(body), &shown) == nil
	return status, shown.State, ok
}

// state asks for the state of a job, and checks that it is known, has a cause and stays
// as it is once the job has ended.
func (c *jobCaller) state(id string) {
	status, shown, ok := c.shownState(id)
	switch {
	case status == http.StatusGone:
		c.f.record.Breach("accepted job %s is not known", id)
		return
	case !ok:
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	former := c.ended[id]
	switch {
	case former != "" && shown != former:
		c.f.record.Breach("job %s was %s and is shown as %s", id, former, shown)
	case former != "":
	case shown == "done":
		c.ended[id] = shown
		c.f.record.Done(id)
	case shown == "failed":
		c.ended[id] = shown
		c.f.record.Failed(id)
	case shown == "cancelled":
		c.f.record.Breach("job %s is shown as cancelled without cause", id)
	}
}

func (c *jobCaller) hasEnded(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended[id] != ""
}

// open returns the accepted jobs that should end and were not shown as ended.
func (c *jobCaller) open() []string {
	return c.list(func(id string, kind jobKind) bool { return kind != kindKept && c.ended[id] == "" })
}

// failed returns the accepted jobs that were shown as failed.
func (c *jobCaller) failed() []string {
	return c.list(func(id string, _ jobKind) bool { return c.ended[id] == "failed" })
}

// kept returns the accepted jobs that last and were not given up.
func (c *jobCaller) kept() []string {
	kept := c.list(func(_ string, kind jobKind) bool { return kind == kindKept })
	return slices.DeleteFunc(kept, func(id string) bool { c.state(id); return c.hasEnded(id) })
}

func (c *jobCaller) list(include func(id string, kind jobKind) bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for id, kind := range c.accepted {
		if include(id, kind) {
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
