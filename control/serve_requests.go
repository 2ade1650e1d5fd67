package control

import (
	"context"

	"geraniumwall/rpc/controlpb"
	"geraniumwall/state/statepb"
	"geraniumwall/workerapi"
)

const (
	// retryAfterMS is the pause for a caller whose request is running elsewhere.
	retryAfterMS = 250
	// maxOutcomeBody bounds the recorded body of an answer in bytes.
	maxOutcomeBody = 1 << 20
	maxDeadlineMS  = 24 * 3600 * 1000
)

// BeginRequest records a non-idempotent request before it is sent upstream.
func (s *Server) BeginRequest(
	ctx context.Context, q *controlpb.BeginRequestRequest,
) (*controlpb.BeginRequestResponse, error) {
	if q.GetCaller() == "" || q.GetIdempotencyKey() == "" || q.GetHolder() == "" {
		return nil, invalid("caller, idempotency key or holder is missing; send all three")
	}
	if q.GetDeadlineMs() <= 0 || q.GetDeadlineMs() > maxDeadlineMS {
		return nil, invalid("deadline of %d ms is out of range; use 1 to %d", q.GetDeadlineMs(), maxDeadlineMS)
	}
	got, err := s.propose(ctx, &statepb.Command{Kind: &statepb.Command_BeginRequest{BeginRequest: q}})
	if err != nil {
		return nil, err
	}
	answer := got.(*controlpb.BeginRequestResponse)
	if answer.GetState() == controlpb.RequestState_REQUEST_STATE_IN_PROGRESS {
		answer.RetryAfterMs = retryAfterMS
	}
	return answer, nil
}

// EndRequest records the outcome of a request.
func (s *Server) EndRequest(
	ctx context.Context, q *controlpb.EndRequestRequest,
) (*controlpb.EndRequestResponse, error) {
	if q.GetCaller() == "" || q.GetIdempotencyKey() == "" || q.GetHolder() == "" {
		return nil, invalid("caller, idempotency key or holder is missing; send all three")
	}
	if !knownOutcome(q.GetOutcome().GetOutcome()) {
		return nil, invalid("outcome %q is not known; use done, failed, not_run or unknown", q.GetOutcome().GetOutcome())
	}
	if len(q.GetOutcome().GetBody()) > maxOutcomeBody {
		return nil, invalid("body has %d bytes; send at most %d", len(q.GetOutcome().GetBody()), maxOutcomeBody)
	}
	got, err := s.propose(ctx, &statepb.Command{Kind: &statepb.Command_EndRequest{EndRequest: q}})
	if err != nil {
		return nil, err
	}
	return got.(*controlpb.EndRequestResponse), nil
}

func knownOutcome(o string) bool {
	switch workerapi.Outcome(o) {
	case workerapi.OutcomeDone, workerapi.OutcomeFailed, workerapi.OutcomeNotRun, workerapi.OutcomeUnknown:
		return true
	}
	return false
}
