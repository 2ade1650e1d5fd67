package state

import (
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"geraniumwall/rpc/controlpb"
)

// Bounds of the history of the configuration.
const (
	// maxConfigVersions bounds the versions with author and change id: several days of
	// changes at the target rate.
	maxConfigVersions = 16384
	// maxVersionsWithContent bounds the versions whose content is kept.
	maxVersionsWithContent = 256
	// maxConflictVersions bounds the changes listed in the answer to a conflict.
	maxConflictVersions = 100
)

// configHistory holds accepted versions, oldest first.
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

// append adds the next version and forgets the oldest ones.
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

// add adds a version as it is.
func (h *configHistory) add(v *controlpb.ConfigVersion) {
	if h.byChangeID == nil {
		h.byChangeID = map[string]*controlpb.ConfigVersion{}
	}
	h.versions = append(h.versions, v)
	h.byChangeID[v.GetChangeId()] = v
}

// versionsAfter returns up to limit versions above the given one, oldest first.
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
// not parsed here: replicas of different releases could disagree about it.
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

// Config returns the current configuration, nil before the first.
func (m *Machine) Config() *controlpb.ConfigVersion { return m.configs.current() }

// Configs returns up to limit versions above the given one, oldest first. Old
// versions have no content.
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
