package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"geraniumwall/config"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/state/statepb"
	"geraniumwall/transport"
)

const (
	// listLimit bounds the answers of ListConfigs and ListAudit.
	listLimit = 1000
	// contentLimit bounds the versions with content in one answer.
	contentLimit = 32
	// maxConfigBytes bounds a configuration document.
	maxConfigBytes = 4 << 20
)

// ApplyConfig changes the configuration if it was made from the current version.
func (s *Server) ApplyConfig(
	ctx context.Context, q *controlpb.ApplyConfigRequest,
) (*controlpb.ApplyConfigResponse, error) {
	if q.GetChangeId() == "" || q.GetAuthor() == "" {
		return nil, invalid("change id or author is missing; send both")
	}
	if len(q.GetContent()) > maxConfigBytes {
		return nil, invalid("configuration has %d bytes; send at most %d", len(q.GetContent()), maxConfigBytes)
	}
	if _, err := config.Parse(q.GetContent()); err != nil {
		return nil, invalid("%v", err)
	}
	got, err := s.propose(ctx, &statepb.Command{Kind: &statepb.Command_ApplyConfig{ApplyConfig: q}})
	if err != nil {
		return nil, err
	}
	return got.(*controlpb.ApplyConfigResponse), nil
}

// GetConfig returns the newest version applied here. A process reports the
// version it has in force by the version it asks from.
func (s *Server) GetConfig(
	ctx context.Context, q *controlpb.GetConfigRequest,
) (*controlpb.GetConfigResponse, error) {
	if s.view.Load().retired {
		// A removed replica gets no entries any more.
		return nil, notLeader("")
	}
	if err := transport.CheckName(ctx, q.GetProcess()); q.GetProcess() != "" && err != nil {
		return nil, twirp.PermissionDenied.Error(err.Error())
	}
	s.processes.record(s.options.Now(), q.GetProcess(), q.GetKind(), q.GetDomain(), q.GetKnownVersion())
	v := s.config.load()
	if v.version.GetVersion() <= q.GetKnownVersion() && q.GetWaitMs() > 0 {
		timer := time.NewTimer(waitOf(q.GetWaitMs()))
		defer timer.Stop()
		select {
		case <-v.changed:
		case <-timer.C:
		case <-ctx.Done():
		case <-s.stopping:
		}
		v = s.config.load()
	}
	if v.version.GetVersion() <= q.GetKnownVersion() {
		return &controlpb.GetConfigResponse{}, nil
	}
	return &controlpb.GetConfigResponse{Config: v.version}, nil
}

// ListConfigs returns accepted versions, oldest first.
func (s *Server) ListConfigs(
	ctx context.Context, q *controlpb.ListConfigsRequest,
) (*controlpb.ListConfigsResponse, error) {
	limit := limitOf(q.GetLimit(), listLimit)
	if q.GetWithContent() {
		limit = min(limit, contentLimit)
	}
	return lookup(ctx, s, func(r *replica) (*controlpb.ListConfigsResponse, error) {
		versions := r.machine.Configs(q.GetAfterVersion(), limit, q.GetWithContent())
		return &controlpb.ListConfigsResponse{Versions: versions}, nil
	})
}

// RecordAudit appends records to the audit trail.
func (s *Server) RecordAudit(
	ctx context.Context, q *controlpb.RecordAuditRequest,
) (*controlpb.RecordAuditResponse, error) {
	if len(q.GetRecords()) > maxBatch {
		return nil, invalid("%d records in one request; send at most %d", len(q.GetRecords()), maxBatch)
	}
	got, err := s.propose(ctx, &statepb.Command{Kind: &statepb.Command_Audit{Audit: q}})
	if err != nil {
		return nil, err
	}
	return got.(*controlpb.RecordAuditResponse), nil
}

// ListAudit returns audit records, oldest first.
func (s *Server) ListAudit(
	ctx context.Context, q *controlpb.ListAuditRequest,
) (*controlpb.ListAuditResponse, error) {
	limit := limitOf(q.GetLimit(), listLimit)
	return lookup(ctx, s, func(r *replica) (*controlpb.ListAuditResponse, error) {
		records := r.machine.Audit(q.GetAfterSequence(), limit, q.GetActor(), q.GetAction())
		return &controlpb.ListAuditResponse{Records: records}, nil
	})
}

func limitOf(wanted int32, most int) int {
	if wanted <= 0 {
		return most
	}
	return min(int(wanted), most)
}
