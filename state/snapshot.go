package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"geraniumwall/state/statepb"
)

// Capture is a view of the whole state at one log index. It shares the immutable
// records with the Machine, so it is cheap to take, and it may be encoded on another
// goroutine.
type Capture struct {
	snapshot *statepb.Snapshot
}

// Capture returns a view of the current state.
func (m *Machine) Capture() Capture {
	drained, drainsIndex := m.Drained()
	format := uint32(0)
	if drainsIndex > 0 {
		format = FormatDrains
	}
	return Capture{&statepb.Snapshot{
		Format:        format,
		Index:         m.index,
		NextTask:      m.tasks.lastSequence,
		Tasks:         slices.Collect(maps.Values(m.tasks.byID)),
		Requests:      slices.Collect(maps.Values(m.requests.byKey)),
		Domains:       m.Domains(),
		Configs:       slices.Clone(m.configs.versions),
		Audit:         slices.Clone(m.audit.records),
		AuditSequence: m.audit.sequence,
		AuditHash:     m.audit.hash,
		Joined:        slices.Sorted(maps.Keys(m.joinedReplicas)),
		Drained:       drained,
		Drains:        drainsIndex,
	}}
}

// Index returns the log index of the last entry that the capture includes.
func (c Capture) Index() uint64 { return c.snapshot.GetIndex() }

// Encode returns the encoded snapshot. Equal states have equal encodings.
func (c Capture) Encode() ([]byte, error) {
	slices.SortFunc(c.snapshot.Tasks, func(a, b *statepb.TaskRecord) int {
		return cmp.Compare(a.GetSequence(), b.GetSequence())
	})
	slices.SortFunc(c.snapshot.Requests, func(a, b *statepb.RequestRecord) int {
		return compareIdempotencyKeys(requestKey(a), requestKey(b))
	})
	return EncodeSnapshot(c.snapshot)
}

// EncodeSnapshot encodes a snapshot whose lists are already sorted.
func EncodeSnapshot(s *statepb.Snapshot) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// Restore returns the state machine of an encoded snapshot. It fails if the snapshot
// is inconsistent or its format is unknown.
func Restore(data []byte) (*Machine, error) {
	s := &statepb.Snapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w; replace this replica", err)
	}
	if err := checkFormat(s.GetFormat()); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	if err := validateSnapshot(s); err != nil {
		return nil, fmt.Errorf("snapshot at index %d: %w; replace this replica", s.GetIndex(), err)
	}
	m := New()
	m.index = s.GetIndex()
	m.tasks.lastSequence, m.tasks.feedStartIndex = s.GetNextTask(), s.GetIndex()
	for _, r := range s.GetTasks() {
		m.tasks.insert(r)
	}
	for _, r := range s.GetRequests() {
		m.requests.put(r)
	}
	for _, d := range s.GetDomains() {
		m.domains[d.GetDomain()] = d
	}
	for _, id := range s.GetJoined() {
		m.joinedReplicas[id] = true
	}
	for _, name := range s.GetDrained() {
		m.drains.workers[name] = true
	}
	m.drains.changedIndex = s.GetDrains()
	for _, v := range s.GetConfigs() {
		m.configs.add(v)
	}
	m.audit = auditTrail{records: s.GetAudit(), sequence: s.GetAuditSequence(), hash: s.GetAuditHash()}
	return m, nil
}

func validateSnapshot(s *statepb.Snapshot) error {
	if err := validateDomainsAndTasks(s); err != nil {
		return err
	}
	for i, v := range s.GetConfigs() {
		if i > 0 && v.GetVersion() != s.GetConfigs()[i-1].GetVersion()+1 {
			return fmt.Errorf("configuration version %d follows version %d", v.GetVersion(), s.GetConfigs()[i-1].GetVersion())
		}
	}
	seen := map[idempotencyKey]bool{}
	for _, r := range s.GetRequests() {
		if seen[requestKey(r)] || r.GetChangedIndex() > s.GetIndex() {
			return fmt.Errorf("request %q/%q is stored twice or changed after the snapshot",
				r.GetCaller(), r.GetIdempotencyKey())
		}
		seen[requestKey(r)] = true
	}
	return validateAudit(s)
}

func validateDomainsAndTasks(s *statepb.Snapshot) error {
	epochs := map[string]uint64{}
	for _, d := range s.GetDomains() {
		if _, duplicate := epochs[d.GetDomain()]; duplicate {
			return fmt.Errorf("domain %s is stored twice", d.GetDomain())
		}
		epochs[d.GetDomain()] = d.GetEpoch()
	}
	var sequence uint64
	keys := map[idempotencyKey]bool{}
	for _, r := range s.GetTasks() {
		t := r.GetTask()
		key := idempotencyKey{t.GetSpec().GetCaller(), t.GetSpec().GetIdempotencyKey()}
		inOrder := r.GetSequence() > sequence && r.GetSequence() <= s.GetNextTask() && t.GetChangedIndex() <= s.GetIndex()
		if !inOrder || keys[key] || t.GetId() != taskID(r.GetSequence()) {
			return fmt.Errorf("task %q has an inconsistent id, sequence, idempotency key or changed index", t.GetId())
		}
		if _, known := transitions[t.GetState()]; !known {
			return fmt.Errorf("task %s has unknown state %d", t.GetId(), t.GetState())
		}
		if t.GetState() == taskBound && (t.GetEpoch() == 0 || t.GetEpoch() > epochs[t.GetDomain()]) {
			return fmt.Errorf("task %s is bound to epoch %d, which domain %s never had", t.GetId(), t.GetEpoch(), t.GetDomain())
		}
		sequence, keys[key] = r.GetSequence(), true
	}
	return nil
}

func validateAudit(s *statepb.Snapshot) error {
	if err := VerifyAudit(s.GetAudit()); err != nil {
		return err
	}
	if n := len(s.GetAudit()); n > 0 {
		newest := s.GetAudit()[n-1]
		if newest.GetSequence() != s.GetAuditSequence() || string(newest.GetHash()) != string(s.GetAuditHash()) {
			return fmt.Errorf("newest audit record %d does not match the snapshot's audit sequence %d or hash",
				newest.GetSequence(), s.GetAuditSequence())
		}
	}
	return nil
}

func taskID(sequence uint64) string { return fmt.Sprintf("t%d", sequence) }

// sortedValues returns the values of a map, sorted with compare.
func sortedValues[K comparable, V any](records map[K]V, compare func(a, b V) int) []V {
	return slices.SortedFunc(maps.Values(records), compare)
}
