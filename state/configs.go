package state

import (
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"geraniumwall/rpc/controlpb"
)

// Limits of the configuration history.
const (
	// maxConfigVersions limits the versions that are retained with their author and
	// change id. It covers several days of changes at the target rate.
	maxConfigVersions = 16384
	// maxVersionsWithContent limits the versions that are retained with their content.
	maxVersionsWithContent = 256
	// maxConflictVersions limits the changes listed in the response to a conflict.
	maxConflictVersions = 100
)

// configHistory holds the accepted versions, oldest first.
type configHistory struct {
	versions   []*controlpb.ConfigVersion
	byChangeID map[string]*controlpb.ConfigVersion
}

func (h *configHistory) current() *controlpb.ConfigVersion {
	if len(h.versions) == 0 {
		return nil
	}
	return h.versions[len(h.versions)-1]
}

// append adds the next version. It drops the content of the versions beyond
// maxVersionsWithContent and the versions beyond maxConfigVersions.
func (h *configHistory) append(v *controlpb.ConfigVersion) {
	assert(v.GetVersion() == h.current().GetVersion()+1, "configuration version %d follows version %d",
		v.GetVersion(), h.current().GetVersion())
	h.add(v)
	if old := len(h.versions) - 1 - maxVersionsWithContent; old >= 0 {
		h.versions[old] = withoutContent(h.versions[old])
		h.byChangeID[h.versions[old].GetChangeId()] = h.versions[old]
	}
	if len(h.versions) > maxConfigVersions {
		delete(h.byChangeID, h.versions[0].GetChangeId())
		h.versions = h.versions[1:]
	}
}

// add adds a version and drops no older ones.
func (h *configHistory) add(v *controlpb.ConfigVersion) {
	if h.byChangeID == nil {
		h.byChangeID = map[string]*controlpb.ConfigVersion{}
	}
	h.versions = append(h.versions, v)
	h.byChangeID[v.GetChangeId()] = v
}

// versionsAfter returns up to limit versions greater than version, oldest first.
func (h *configHistory) versionsAfter(version uint64, limit int) []*controlpb.ConfigVersion {
	if len(h.versions) == 0 {
		return nil
	}
	start := 0
	if first := h.versions[0].GetVersion(); version >= first {
		start = int(min(version-first+1, uint64(len(h.versions))))
	}
	return h.versions[start:min(len(h.versions), start+limit)]
}

func withoutContent(v *controlpb.ConfigVersion) *controlpb.ConfigVersion {
	return &controlpb.ConfigVersion{
		Version: v.GetVersion(), Author: v.GetAuthor(), ChangeId: v.GetChangeId(), Comment: v.GetComment(),
		ContentHash: v.GetContentHash(), AcceptedUnixMs: v.GetAcceptedUnixMs(),
	}
}

// applyConfig accepts a change if its base is the current version. The content is
// not parsed here, since replicas of different releases could disagree about it.
func (m *Machine) applyConfig(unixMS int64, c *controlpb.ApplyConfigRequest) proto.Message {
	if v, repeated := m.configs.byChangeID[c.GetChangeId()]; repeated {
		return &controlpb.ApplyConfigResponse{
			Accepted: true, Version: v.GetVersion(), Current: m.configs.current(), Repeated: true,
		}
	}
	current := m.configs.current()
	if c.GetBaseVersion() != current.GetVersion() {
		return &controlpb.ApplyConfigResponse{
			Version: current.GetVersion(), Current: current, SinceBase: m.changesAfter(c.GetBaseVersion()),
		}
	}
	hash := sha256.Sum256(c.GetContent())
	v := &controlpb.ConfigVersion{
		Version: current.GetVersion() + 1, Author: c.GetAuthor(), ChangeId: c.GetChangeId(), Comment: c.GetComment(),
		Content: c.GetContent(), ContentHash: hash[:], AcceptedUnixMs: unixMS,
	}
	m.configs.append(v)
	m.audit.append(&controlpb.AuditRecord{
		UnixMs: unixMS, Actor: c.GetAuthor(), Action: "config.apply", Subject: c.GetChangeId(),
		Detail: c.GetComment(), FromVersion: current.GetVersion(), ToVersion: v.GetVersion(), Result: "accepted",
	})
	return &controlpb.ApplyConfigResponse{Accepted: true, Version: v.GetVersion(), Current: v}
}

func (m *Machine) changesAfter(base uint64) []*controlpb.ConfigVersion {
	var changes []*controlpb.ConfigVersion
	for _, v := range m.configs.versionsAfter(base, maxConflictVersions) {
		changes = append(changes, withoutContent(v))
	}
	return changes
}

// Config returns the current configuration version, or nil if there is none yet.
func (m *Machine) Config() *controlpb.ConfigVersion { return m.configs.current() }

// Configs returns up to limit versions greater than after, oldest first. They
// include their content if content is true and the version is recent enough to
// have retained it.
func (m *Machine) Configs(after uint64, limit int, content bool) []*controlpb.ConfigVersion {
	var list []*controlpb.ConfigVersion
	for _, v := range m.configs.versionsAfter(after, limit) {
		if !content {
			v = withoutContent(v)
		}
		list = append(list, v)
	}
	return list
}
