package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	hostName  = "nony24.example"
	deadline  = 3 * time.Second
	serviceID = "huvo11a"
)

// route is a queue of the configuration.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	PathPrefix  string  `json:"path-prefix"`
	Kind        string  `json:"kind"`
	TimeoutMS   int     `json:"timeout-ms"`
	TargetMS    int     `json:"target-latency-ms"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"max-attempts"`
	Stretch     float64 `json:"stretch"`
}

func newRoute(name string) route {
	return route{
		Name: "r-" + name, Host: hostName, PathPrefix: "/" + name + "/", Kind: "non_idempotent", TimeoutMS: 3000, TargetMS: 2500,
		Service: serviceID, MaxAttempts: 3, Stretch: 2.2,
	}
}

// requester sends the calls of requesters and of the operator.
type requester struct {
	f      *fleet
	rec    *record
	client *http.Client
	next   atomic.Int64
}

func newRequester(f *fleet) *requester {
	return &requester{f: f, rec: f.rec, client: &http.Client{Timeout: deadline, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// call returns the status and the body, or an error if there is no whole answer.
func (q *requester) call(method, address, path, host string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if host != "" {
		request.Host = host
		request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	}
	response, err := q.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

func (q *requester) front() string {
	return q.f.callers[int(q.next.Add(1))%len(q.f.callers)]
}

var errNoAnswer = errors.New("no clear answer")

const submitAttempts = 5

// submit hands a job in as PROTOCOL.md says: the same request again after no response, a
// broken channel, a 502 or a 504. It returns the final status.
func (q *requester) submit(prefix string, j *job) (int, error) {
	body, err := json.Marshal(map[string]any{"spec": j.spec, "phases": j.phases})
	if err != nil {
		return 0, err
	}
	for attempt := range submitAttempts {
		status, data, err := q.call(http.MethodPost, q.front(), prefix+j.id, hostName, body)
		q.rec.add("POST %s%s: %d %s %v", prefix, j.id, status, bytes.TrimSpace(data), errText(err))
		if err == nil && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return status, nil
		}
		time.Sleep(time.Duration(attempt+1) * 100 * time.Millisecond)
	}
	return 0, errNoAnswer
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// state asks for the state of a job. It tries again while there is no clear answer.
func (q *requester) state(prefix, id string) (int, string) {
	for range submitAttempts {
		status, data, err := q.call(http.MethodGet, q.front(), prefix+id, hostName, nil)
		q.rec.add("GET %s%s: %d %s %s", prefix, id, status, bytes.TrimSpace(data), errText(err))
		if err == nil && status < 500 {
			var answer struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal(data, &answer)
			return status, answer.State
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0, ""
}

// configure sends a configuration until it is acknowledged, to one node after the other.
func (q *requester) configure(version int, routes []route) error {
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": serviceID, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "admission-check": false, "standby": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err != nil {
		return err
	}
	var names []string
	for _, r := range routes {
		names = append(names, r.Name)
	}
	for i := range 60 {
		address := q.f.control[(version+i)%len(q.f.control)]
		q.rec.add("PUT /config version %d, routes %v, to %s", version, names, address)
		status, data, err := q.call(http.MethodPut, address, "/config", "", body)
		q.rec.add("PUT /config version %d: %d %s %s", version, status, bytes.TrimSpace(data), errText(err))
		if err == nil && status == http.StatusOK {
			return nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return fmt.Errorf("configuration %d: %w", version, errNoAnswer)
}

// waitReady waits until all fronts are ready.
func (q *requester) waitReady() error {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, address := range q.f.ready {
			if status, _, err := q.call(http.MethodGet, address, "/ready", "", nil); err == nil && status == http.StatusOK {
				ready++
			}
		}
		if ready == len(q.f.ready) {
			return nil
		}
	}
	return errors.New("the fronts are not ready")
}
