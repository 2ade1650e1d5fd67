package gateway

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"geraniumwall/config"
	"geraniumwall/routing"
	"geraniumwall/rpc/schedulerpb"
	"geraniumwall/workerapi"
)

func FuzzEnvelope(f *testing.F) {
	f.Add("100", "caller", "id", "key")
	f.Add("-1", "", "\r\n", "")
	f.Add("9223372036854775807", "a", "b", "c")
	f.Fuzz(func(t *testing.T, deadline, caller, id, key string) {
		h := http.Header{}
		h.Set(workerapi.HeaderDeadline, deadline)
		h.Set(workerapi.HeaderCaller, caller)
		h.Set(workerapi.HeaderRequestID, id)
		h.Set(workerapi.HeaderIdempotent, key)
		e, problem := readEnvelope(h, time.Second)
		if problem != nil {
			return
		}
		if e.deadline <= 0 || e.deadline > maxDeadline || e.caller == "" || e.requestID == "" {
			t.Fatalf("accepted %+v", e)
		}
		for _, s := range []string{e.caller, e.requestID, e.key} {
			if len(s) > maxTokenLength || bytes.ContainsAny([]byte(s), "\r\n\x00") {
				t.Fatalf("accepted %q", s)
			}
		}
	})
}

func FuzzTaskSubmission(f *testing.F) {
	f.Add([]byte(`{"job":"cut","priority":"urgent","resources":{"cpu_millis":1},"payload":{"a":[1]}}`))
	f.Add([]byte(`{"job":"cut","expected_ms":-1}`))
	c := testConfig.WithDefaults()
	f.Fuzz(func(t *testing.T, body []byte) {
		var s TaskSubmission
		if decodeStrict(bytes.NewReader(body), &s) != nil {
			return
		}
		spec, problem := s.spec(&c, "caller", "key")
		if problem != nil {
			return
		}
		if _, known := c.FindJob(spec.GetJob()); !known {
			t.Fatalf("accepted job %q", spec.GetJob())
		}
		if _, known := priorityNames[spec.GetPriority()]; !known || spec.GetResources().GetCpuMillis() <= 0 {
			t.Fatalf("accepted %v", spec)
		}
		if _, err := proto.Marshal(spec); err != nil {
			t.Fatalf("the accepted task cannot be encoded: %v", err)
		}
	})
}

func FuzzGrants(f *testing.F) {
	seed, _ := proto.Marshal(&schedulerpb.SyncGrantsResponse{Grants: []*schedulerpb.Grant{
		{Worker: "w", Address: "127.0.0.1:1", Session: 1, Slots: 2, Connections: 2, Services: []string{"quote"}, DurationMs: 3000},
		{Worker: "w", Session: 1, Slots: -2, Connections: 1 << 30, DurationMs: -5},
	}})
	f.Add(seed)
	c := testConfig.WithDefaults()
	f.Fuzz(func(t *testing.T, message []byte) {
		var answer schedulerpb.SyncGrantsResponse
		if proto.Unmarshal(message, &answer) != nil {
			return
		}
		set := grantSet("s", time.Second, &answer)
		for _, g := range set.Grants {
			if g.Slots < 0 || g.Connections < 0 || g.Expires < set.Sent || g.Expires > set.Sent+routing.LeavingDuration {
				t.Fatalf("accepted %+v", g)
			}
		}
		b := newBalancer("bern-a", zeroSource{}, func() time.Duration { return time.Second }, func() {})
		b.configure(routingServices(c), config.DefaultRetryPercent)
		book := routing.NewBook()
		book.Receive(set)
		usable := book.Usable(time.Second)
		newWorkerTransport(nil).limit(usable)
		b.apply(usable)
	})
}

// zeroSource is a random source that always returns zero.
type zeroSource struct{}

func (zeroSource) Uint64() uint64 { return 0 }
