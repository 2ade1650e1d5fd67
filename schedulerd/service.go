package schedulerd

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"geraniumwall/control/client"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/rpc/schedulerpb"
	"geraniumwall/scheduler"
	"geraniumwall/transport"
)

const (
	defaultExplainLimit = 50
	maxExplainLimit     = 1000
)

// service implements the Twirp service Scheduler.
type service struct {
	settings *Settings
	core     *coreRef
	follower *client.Follower
	metrics  *metrics
	deltas   *grantCodec
}

// call runs a function on the core. Its error is a Twirp error.
func (s *service) call(ctx context.Context, run func(now time.Duration, core *scheduler.Core)) error {
	if err := s.core.call(ctx, run); err != nil {
		return twirp.Unavailable.Error(err.Error())
	}
	return nil
}

// SyncGrants records the demand of a gateway and returns its slot grants.
func (s *service) SyncGrants(ctx context.Context, r *schedulerpb.SyncGrantsRequest) (*schedulerpb.SyncGrantsResponse, error) {
	if r.GetGateway() == "" || r.GetIncarnation() == "" {
		return nil, twirp.RequiredArgumentError("gateway and incarnation")
	}
	if err := transport.CheckName(ctx, r.GetGateway()); err != nil {
		return nil, twirp.PermissionDenied.Error(err.Error())
	}
	s.adoptConfig(r)
	full, ok := s.deltas.decode(r)
	if !ok {
		return &schedulerpb.SyncGrantsResponse{
			Scheduler: s.settings.Name, SendWhole: true, ConfigVersion: s.follower.Current().Version,
		}, nil
	}
	var result scheduler.GrantAnswer
	var refusal error
	err := s.call(ctx, func(now time.Duration, core *scheduler.Core) {
		result, refusal = core.SyncGrants(now, grantSync(full))
	})
	if err != nil {
		return nil, err
	}
	if errors.Is(refusal, scheduler.ErrStaleSync) {
		return nil, twirp.FailedPrecondition.Error(refusal.Error())
	}
	response := &schedulerpb.SyncGrantsResponse{
		Scheduler: s.settings.Name, Epoch: result.Epoch, Leaving: result.Leaving,
		ConfigVersion: s.follower.Current().Version,
	}
	for _, g := range result.Grants {
		response.Grants = append(response.Grants, grantMessage(s.settings.Domain, g))
	}
	s.metrics.recordSync(ctx, len(response.Grants))
	return s.deltas.encode(s.core.clock.now(), full, response), nil
}

// adoptConfig puts the configuration of a gateway in force if it is newer. A gateway
// sends it if this scheduler has not received it from a control replica in time.
// Without a usable configuration, the gateway's version triggers a fetch.
func (s *service) adoptConfig(r *schedulerpb.SyncGrantsRequest) {
	if len(r.GetConfig()) > 0 {
		err := s.follower.Adopt(&controlpb.ConfigVersion{Version: r.GetConfigVersion(), Content: r.GetConfig()})
		if err == nil {
			return
		}
	}
	s.follower.Notice(r.GetConfigVersion())
}

// GetConfig returns the configuration in force if it is newer than the caller's.
func (s *service) GetConfig(_ context.Context, r *schedulerpb.GetConfigRequest) (*schedulerpb.GetConfigResponse, error) {
	current := s.follower.Current()
	if current.Version <= r.GetKnownVersion() {
		return &schedulerpb.GetConfigResponse{}, nil
	}
	return &schedulerpb.GetConfigResponse{Version: current.Version, Content: current.Content}, nil
}

// RenewSchedulerLease grants a scheduler lease to the active scheduler of the domain
// if this scheduler is its standby.
func (s *service) RenewSchedulerLease(ctx context.Context, r *schedulerpb.RenewSchedulerLeaseRequest) (*schedulerpb.RenewSchedulerLeaseResponse, error) {
	if r.GetDomain() != s.settings.Domain {
		return nil, twirp.InvalidArgumentError("domain", "this scheduler serves "+s.settings.Domain)
	}
	if err := transport.CheckName(ctx, r.GetActive()); err != nil {
		return nil, twirp.PermissionDenied.Error(err.Error())
	}
	var grant scheduler.PeerGrant
	err := s.call(ctx, func(now time.Duration, core *scheduler.Core) {
		grant = core.GrantPeer(now, r.GetActive(), r.GetEpoch(), millis(r.GetLeaseMs()))
	})
	if err != nil {
		return nil, err
	}
	return &schedulerpb.RenewSchedulerLeaseResponse{Granted: grant.Granted, Epoch: grant.Epoch, Role: string(grant.Role)}, nil
}

// Explain returns scheduling decisions, newest first.
func (s *service) Explain(ctx context.Context, r *schedulerpb.ExplainRequest) (*schedulerpb.ExplainResponse, error) {
	limit := int(r.GetLimit())
	if limit <= 0 {
		limit = defaultExplainLimit
	}
	var decisions []scheduler.Decision
	err := s.call(ctx, func(now time.Duration, core *scheduler.Core) {
		decisions = core.Explain(now, r.GetSubject(), min(limit, maxExplainLimit))
	})
	if err != nil {
		return nil, err
	}
	response := &schedulerpb.ExplainResponse{}
	for _, d := range decisions {
		response.Decisions = append(response.Decisions, decisionMessage(s.core.clock, d))
	}
	return response, nil
}

// Status returns the state of the scheduler.
func (s *service) Status(ctx context.Context, _ *schedulerpb.StatusRequest) (*schedulerpb.StatusResponse, error) {
	var status scheduler.Status
	err := s.call(ctx, func(now time.Duration, core *scheduler.Core) { status = core.Status(now) })
	if err != nil {
		return nil, err
	}
	response := &schedulerpb.StatusResponse{
		Scheduler: s.settings.Name, Domain: s.settings.Domain, Role: string(status.Role), Epoch: status.Epoch,
		Waiting: int32(status.Waiting), Running: int32(status.Running), //nolint:gosec // counts
		ConfigVersion: status.Version, SchedulerLeaseMs: status.SchedulerLease.Milliseconds(),
		DomainLeaseMs: status.DomainLease.Milliseconds(),
	}
	for _, w := range status.Workers {
		response.Workers = append(response.Workers, workerStatusMessage(w))
	}
	return response, nil
}

// Drain rejects the call, which only gateways of version 1 make.
func (s *service) Drain(context.Context, *schedulerpb.DrainRequest) (*schedulerpb.DrainResponse, error) {
	return nil, twirp.FailedPrecondition.Error("drains are kept by the control replicas; upgrade the gateway that the call came through")
}
