package control

import (
	"errors"
	"fmt"

	"github.com/twitchtv/twirp"

	"geraniumwall/control/client"
	"geraniumwall/raft"
	"geraniumwall/state"
	"geraniumwall/workerapi"
)

// Kinds of errors in the meta key "kind", besides client.KindNotLeader and the
// kinds of package state.
const (
	kindNotReady   = "not_ready"
	kindOverloaded = "overloaded"
	kindLost       = "lost"
	kindNoAnswer   = "no_answer"
	kindInvalid    = "invalid"
	kindMembership = "membership"
)

// errUnresolved means that a proposal was appended and its fate is not known.
var errUnresolved = errors.New("the entry is appended and not known to be committed")

// errLost means that another entry took the place of a proposal in the log, so
// that it can never be committed.
var errLost = errors.New("another entry was committed in place of the proposal")

// errNotReady means that a new leader has not applied its predecessors' entries.
var errNotReady = errors.New("the leader is not ready yet")

func failure(code twirp.ErrorCode, kind string, outcome workerapi.Outcome, text string) twirp.Error {
	return twirp.NewError(code, text).
		WithMeta(client.MetaKind, kind).
		WithMeta(client.MetaOutcome, string(outcome))
}

func invalid(format string, args ...any) twirp.Error {
	return failure(twirp.InvalidArgument, kindInvalid, workerapi.OutcomeNotRun, fmt.Sprintf(format, args...))
}

// notLeader names the leader that a replica knows, if any.
func notLeader(address string) twirp.Error {
	err := failure(twirp.Unavailable, client.KindNotLeader, workerapi.OutcomeNotRun,
		"this replica is not the leader; send the request to the leader")
	if address != "" {
		err = err.WithMeta(client.MetaLeader, address)
	}
	return err
}

// publicError converts the error of a proposal or read. Only an error that shows
// that nothing was appended, or that it was replaced, has outcome not_run.
func publicError(err error, leader string) error {
	var refusal *state.Refusal
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refusal):
		return failure(twirp.FailedPrecondition, string(refusal.Kind), workerapi.OutcomeNotRun, refusal.Text)
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrTransferring):
		return notLeader(leader)
	case errors.Is(err, raft.ErrOverloaded):
		return failure(twirp.Unavailable, kindOverloaded, workerapi.OutcomeNotRun, err.Error())
	case errors.Is(err, errNotReady):
		return failure(twirp.Unavailable, kindNotReady, workerapi.OutcomeNotRun, err.Error()+"; retry shortly")
	case errors.Is(err, errLost):
		return failure(twirp.Unavailable, kindLost, workerapi.OutcomeNotRun, err.Error()+"; resend it")
	case errors.Is(err, raft.ErrChangePending), errors.Is(err, raft.ErrNotCaughtUp), errors.Is(err, raft.ErrInvalidChange):
		return failure(twirp.FailedPrecondition, kindMembership, workerapi.OutcomeNotRun, err.Error())
	}
	return failure(twirp.Unavailable, kindNoAnswer, workerapi.OutcomeUnknown,
		err.Error()+"; resend the request with the same key to learn its outcome")
}

// failureOfRead means that a read was not confirmed in time. It has no effect.
func failureOfRead() error {
	return failure(twirp.Unavailable, kindNoAnswer, workerapi.OutcomeNotRun,
		"the read was not confirmed in time; retry it")
}
