package state

import (
	"bytes"

	"github.com/tidwall/btree"
	"google.golang.org/protobuf/proto"

	"geraniumwall/rpc/controlpb"
	"geraniumwall/state/statepb"
	"geraniumwall/workerapi"
)

// Short names of the request states.
const (
	requestRunning = controlpb.RequestState_REQUEST_STATE_IN_PROGRESS
	requestEnded   = controlpb.RequestState_REQUEST_STATE_ENDED
	requestUnknown = controlpb.RequestState_REQUEST_STATE_UNKNOWN
)

// requestTable holds the records of non-idempotent requests.
type requestTable struct {
	byKey   map[idempotencyKey]*statepb.RequestRecord
	running map[idempotencyKey]*statepb.RequestRecord
	// ended holds the requests that have an outcome, which may be unknown.
	ended *btree.BTreeG[*statepb.RequestRecord]
}

func newRequestTable() *requestTable {
	return &requestTable{
		byKey:   map[idempotencyKey]*statepb.RequestRecord{},
		running: map[idempotencyKey]*statepb.RequestRecord{},
		ended:   btree.NewBTreeG(lessEndedRequest),
	}
}

func requestKey(r *statepb.RequestRecord) idempotencyKey {
	return idempotencyKey{r.GetCaller(), r.GetIdempotencyKey()}
}

func lessEndedRequest(a, b *statepb.RequestRecord) bool {
	if a.GetChangedIndex() != b.GetChangedIndex() {
		return a.GetChangedIndex() < b.GetChangedIndex()
	}
	return compareIdempotencyKeys(requestKey(a), requestKey(b)) < 0
}

// put stores a record and replaces the one with the same key, if any.
func (t *requestTable) put(r *statepb.RequestRecord) {
	key := requestKey(r)
	if before, known := t.byKey[key]; known {
		assertRequestUpdate(before, r)
		delete(t.running, key)
		t.ended.Delete(before)
	}
	t.byKey[key] = r
	if r.GetState() == requestRunning {
		t.running[key] = r
	} else {
		t.ended.Set(r)
	}
}

// assertRequestUpdate asserts that a request that ran, or may have run, is never
// started again and keeps its outcome. Only the holder may replace an unknown
// outcome.
func assertRequestUpdate(before, after *statepb.RequestRecord) {
	if before.GetState() == requestEnded {
		assert(isNotRun(before.GetOutcome()), "request %q/%q changed after it ended",
			before.GetCaller(), before.GetIdempotencyKey())
	}
	if before.GetState() == requestUnknown {
		assert(after.GetState() == requestEnded && after.GetHolder() == before.GetHolder(),
			"request %q/%q with unknown outcome was not ended by its holder",
			before.GetCaller(), before.GetIdempotencyKey())
	}
}

func isNotRun(o *controlpb.RequestOutcome) bool {
	return o.GetOutcome() == string(workerapi.OutcomeNotRun)
}

func (t *requestTable) prune(through uint64, limit uint32) uint32 {
	var dropped uint32
	for dropped < limit {
		r, ok := t.ended.Min()
		if !ok || r.GetChangedIndex() > through {
			break
		}
		t.ended.Delete(r)
		delete(t.byKey, requestKey(r))
		dropped++
	}
	return dropped
}

func (m *Machine) beginRequest(c *controlpb.BeginRequestRequest) proto.Message {
	r, known := m.requests.byKey[idempotencyKey{c.GetCaller(), c.GetIdempotencyKey()}]
	if !known {
		return m.startRequest(c)
	}
	if len(r.GetBodyHash()) > 0 && !bytes.Equal(r.GetBodyHash(), c.GetBodyHash()) {
		return &controlpb.BeginRequestResponse{State: controlpb.RequestState_REQUEST_STATE_KEY_CONFLICT}
	}
	switch r.GetState() {
	case requestRunning:
		if r.GetHolder() == c.GetHolder() {
			return &controlpb.BeginRequestResponse{State: controlpb.RequestState_REQUEST_STATE_STARTED}
		}
		return &controlpb.BeginRequestResponse{State: requestRunning}
	case requestEnded:
		// A delayed BeginRequest of a holder that has recorded not_run must not
		// start the request.
		if isNotRun(r.GetOutcome()) && r.GetHolder() != c.GetHolder() {
			return m.startRequest(c)
		}
	}
	return &controlpb.BeginRequestResponse{State: r.GetState(), Outcome: r.GetOutcome()}
}

func (m *Machine) startRequest(c *controlpb.BeginRequestRequest) proto.Message {
	m.requests.put(&statepb.RequestRecord{
		Caller: c.GetCaller(), IdempotencyKey: c.GetIdempotencyKey(), BodyHash: c.GetBodyHash(),
		Holder: c.GetHolder(), DeadlineMs: c.GetDeadlineMs(), State: requestRunning, ChangedIndex: m.index,
	})
	return &controlpb.BeginRequestResponse{State: controlpb.RequestState_REQUEST_STATE_STARTED}
}

// endRequest records the outcome of a request. The outcome not_run is recorded even
// if the request has no record, so that a delayed BeginRequest of the same holder
// does not start it.
func (m *Machine) endRequest(c *controlpb.EndRequestRequest) (proto.Message, *Refusal) {
	r, known := m.requests.byKey[idempotencyKey{c.GetCaller(), c.GetIdempotencyKey()}]
	if !known {
		if !isNotRun(c.GetOutcome()) {
			return nil, newRefusal(KindUnknownRequest,
				"request %q of caller %q is not recorded; record it with BeginRequest before it is sent",
				c.GetIdempotencyKey(), c.GetCaller())
		}
		r = &statepb.RequestRecord{Caller: c.GetCaller(), IdempotencyKey: c.GetIdempotencyKey(), Holder: c.GetHolder()}
	}
	if r.GetHolder() != c.GetHolder() {
		return nil, newRefusal(KindOtherHolder, "request %q of caller %q is held by %s; drop this outcome",
			c.GetIdempotencyKey(), c.GetCaller(), r.GetHolder())
	}
	if r.GetState() == requestEnded {
		if !proto.Equal(r.GetOutcome(), c.GetOutcome()) {
			return nil, newRefusal(KindAlreadyEnded, "request %q of caller %q has ended with outcome %s; drop this outcome",
				c.GetIdempotencyKey(), c.GetCaller(), r.GetOutcome().GetOutcome())
		}
		return &controlpb.EndRequestResponse{}, nil
	}
	m.finishRequest(r, requestEnded, c.GetOutcome())
	return &controlpb.EndRequestResponse{}, nil
}

func (m *Machine) finishRequest(
	r *statepb.RequestRecord, s controlpb.RequestState, outcome *controlpb.RequestOutcome,
) {
	m.requests.put(&statepb.RequestRecord{
		Caller: r.GetCaller(), IdempotencyKey: r.GetIdempotencyKey(), BodyHash: r.GetBodyHash(),
		Holder: r.GetHolder(), DeadlineMs: r.GetDeadlineMs(), State: s, Outcome: outcome, ChangedIndex: m.index,
	})
}

func (m *Machine) expireRequests(c *statepb.ExpireRequests) proto.Message {
	for _, k := range c.GetRequests() {
		r, running := m.requests.running[idempotencyKey{k.GetCaller(), k.GetIdempotencyKey()}]
		if running && r.GetHolder() == k.GetHolder() {
			m.finishRequest(r, requestUnknown, &controlpb.RequestOutcome{Outcome: string(workerapi.OutcomeUnknown)})
		}
	}
	return &statepb.ExpireRequests{}
}

// RunningRequests calls f for each request that has no outcome yet, in unspecified
// order.
func (m *Machine) RunningRequests(f func(*statepb.RequestRecord)) {
	for _, r := range m.requests.running {
		f(r)
	}
}

// Request returns the record of a request and whether it exists.
func (m *Machine) Request(caller, key string) (*statepb.RequestRecord, bool) {
	r, ok := m.requests.byKey[idempotencyKey{caller, key}]
	return r, ok
}
