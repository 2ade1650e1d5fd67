package operatorapi

import (
	"encoding/hex"
	"encoding/json"

	"geraniumwall/rpc/controlpb"
)

// Version is one accepted configuration.
type Version struct {
	Version        uint64          `json:"version"`
	Author         string          `json:"author"`
	ChangeID       string          `json:"change_id"`
	Comment        string          `json:"comment,omitempty"`
	AcceptedUnixMS int64           `json:"accepted_unix_ms"`
	ContentHash    string          `json:"content_hash"`
	Content        json.RawMessage `json:"content,omitempty"`
}

// ApplyResult answers a change. If Accepted is false, SinceBase lists the changes
// made since the base version, oldest first.
type ApplyResult struct {
	Accepted  bool      `json:"accepted"`
	Version   uint64    `json:"version"`
	Repeated  bool      `json:"repeated,omitempty"`
	SinceBase []Version `json:"since_base,omitempty"`
	Remedy    string    `json:"remedy,omitempty"`
}

// AuditRecord is one entry of the audit trail.
type AuditRecord struct {
	Sequence     uint64 `json:"sequence"`
	UnixMS       int64  `json:"unix_ms"`
	Actor        string `json:"actor"`
	Action       string `json:"action"`
	Subject      string `json:"subject"`
	Detail       string `json:"detail,omitempty"`
	FromVersion  uint64 `json:"from_version,omitempty"`
	ToVersion    uint64 `json:"to_version,omitempty"`
	Result       string `json:"result,omitempty"`
	PreviousHash string `json:"previous_hash"`
	Hash         string `json:"hash"`
}

// Status is the state of the fleet as the control leader and the schedulers see it.
type Status struct {
	Control    *controlpb.StatusResponse `json:"control"`
	Schedulers []SchedulerStatus         `json:"schedulers"`
	// Members are the processes that the gateway's membership view holds, alive or
	// suspected; empty where membership is not set up.
	Members []MemberStatus `json:"members,omitempty"`
}

// MemberStatus is one process of the fleet.
type MemberStatus struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	// State is alive or suspect.
	State string `json:"state"`
}

// SchedulerStatus is the state of one scheduler; Error is set if it did not answer.
type SchedulerStatus struct {
	Scheduler     string `json:"scheduler"`
	Domain        string `json:"domain"`
	Role          string `json:"role,omitempty"`
	Epoch         uint64 `json:"epoch,omitempty"`
	Waiting       int32  `json:"waiting"`
	Running       int32  `json:"running"`
	ConfigVersion uint64 `json:"config_version"`
	// SchedulerLeaseMS and DomainLeaseMS are what is left of the leases held.
	SchedulerLeaseMS int64          `json:"scheduler_lease_ms"`
	DomainLeaseMS    int64          `json:"domain_lease_ms"`
	Workers          []WorkerStatus `json:"workers,omitempty"`
	Error            string         `json:"error,omitempty"`
}

// WorkerStatus is the state of one worker. Sizes are millicores and megabytes.
type WorkerStatus struct {
	Worker           string `json:"worker"`
	Rack             string `json:"rack"`
	State            string `json:"state"`
	FreeCPUMillis    int64  `json:"free_cpu_millis"`
	FreeMemoryMB     int64  `json:"free_memory_mb"`
	FreeAccelerators int64  `json:"free_accelerators"`
	Tasks            int32  `json:"tasks"`
	Slots            int32  `json:"slots"`
	SlotsGranted     int32  `json:"slots_granted"`
	HeartbeatAgeMS   int64  `json:"heartbeat_age_ms"`
	// Reason says why the worker is not ready.
	Reason string `json:"reason,omitempty"`
}

// Decision is one explained decision of a scheduler.
type Decision struct {
	UnixMS  int64              `json:"unix_ms"`
	Subject string             `json:"subject"`
	Kind    string             `json:"kind"`
	Reason  string             `json:"reason"`
	Worker  string             `json:"worker,omitempty"`
	Figures map[string]float64 `json:"figures,omitempty"`
}

func versionOf(v *controlpb.ConfigVersion) Version {
	return Version{
		Version: v.GetVersion(), Author: v.GetAuthor(), ChangeID: v.GetChangeId(), Comment: v.GetComment(),
		AcceptedUnixMS: v.GetAcceptedUnixMs(), ContentHash: hex.EncodeToString(v.GetContentHash()),
		Content: json.RawMessage(v.GetContent()),
	}
}

func applyResult(a *controlpb.ApplyConfigResponse) ApplyResult {
	result := ApplyResult{Accepted: a.GetAccepted(), Version: a.GetVersion(), Repeated: a.GetRepeated()}
	for _, v := range a.GetSinceBase() {
		result.SinceBase = append(result.SinceBase, versionOf(v))
	}
	if !result.Accepted {
		result.Remedy = "review what changed since your base version (geranium diff), print the configuration again and apply it to the current version"
	}
	return result
}

func auditRecordOf(r *controlpb.AuditRecord) AuditRecord {
	return AuditRecord{
		Sequence: r.GetSequence(), UnixMS: r.GetUnixMs(), Actor: r.GetActor(), Action: r.GetAction(),
		Subject: r.GetSubject(), Detail: r.GetDetail(), FromVersion: r.GetFromVersion(), ToVersion: r.GetToVersion(),
		Result: r.GetResult(), PreviousHash: hex.EncodeToString(r.GetPreviousHash()), Hash: hex.EncodeToString(r.GetHash()),
	}
}
