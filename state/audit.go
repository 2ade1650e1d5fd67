package state

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"google.golang.org/protobuf/proto"

	"geraniumwall/rpc/controlpb"
)

// maxAuditRecords limits the retained records. The hash chain continues when the
// oldest ones are dropped.
const maxAuditRecords = 65536

// auditTrail is the hash chain of audit records, oldest first.
type auditTrail struct {
	records []*controlpb.AuditRecord
	// sequence and hash are those of the newest record.
	sequence uint64
	hash     []byte
}

// append sets the sequence and the hashes of a record and adds it to the chain.
func (a *auditTrail) append(r *controlpb.AuditRecord) {
	if len(a.records) > 0 {
		newest := a.records[len(a.records)-1]
		assert(bytes.Equal(newest.GetHash(), a.hash) && newest.GetSequence() == a.sequence,
			"audit chain is broken at sequence %d", a.sequence)
	}
	a.sequence++
	r.Sequence = a.sequence
	r.PreviousHash = a.hash
	r.Hash = AuditHash(r)
	a.hash = r.GetHash()
	a.records = append(a.records, r)
	if len(a.records) > maxAuditRecords {
		a.records = a.records[1:]
	}
}

// AuditHash returns the SHA-256 hash of a record. It covers the hash of the previous
// record and then each field. Hashes and strings are prefixed with their length.
func AuditHash(r *controlpb.AuditRecord) []byte {
	var b []byte
	b = appendLengthPrefixed(b, r.GetPreviousHash())
	b = binary.BigEndian.AppendUint64(b, r.GetSequence())
	b = binary.BigEndian.AppendUint64(b, uint64(r.GetUnixMs()))
	for _, s := range []string{r.GetActor(), r.GetAction(), r.GetSubject(), r.GetDetail(), r.GetResult()} {
		b = appendLengthPrefixed(b, []byte(s))
	}
	b = binary.BigEndian.AppendUint64(b, r.GetFromVersion())
	b = binary.BigEndian.AppendUint64(b, r.GetToVersion())
	hash := sha256.Sum256(b)
	return hash[:]
}

func appendLengthPrefixed(b, data []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(len(data)))
	return append(b, data...)
}

// VerifyAudit checks that consecutive records form an unbroken chain. The error
// names the first record that was modified or that follows a gap.
func VerifyAudit(records []*controlpb.AuditRecord) error {
	for i, r := range records {
		if !bytes.Equal(r.GetHash(), AuditHash(r)) {
			return fmt.Errorf("audit record %d was edited; compare it on the other replicas", r.GetSequence())
		}
		if i == 0 {
			continue
		}
		previous := records[i-1]
		if r.GetSequence() != previous.GetSequence()+1 || !bytes.Equal(r.GetPreviousHash(), previous.GetHash()) {
			return fmt.Errorf("audit record %d does not follow record %d; compare them on the other replicas",
				r.GetSequence(), previous.GetSequence())
		}
	}
	return nil
}

func (m *Machine) recordAudit(unixMS int64, c *controlpb.RecordAuditRequest) proto.Message {
	for _, r := range c.GetRecords() {
		timestampMS := r.GetUnixMs()
		if timestampMS == 0 {
			timestampMS = unixMS
		}
		m.audit.append(&controlpb.AuditRecord{
			UnixMs: timestampMS, Actor: r.GetActor(), Action: r.GetAction(), Subject: r.GetSubject(), Detail: r.GetDetail(),
			FromVersion: r.GetFromVersion(), ToVersion: r.GetToVersion(), Result: r.GetResult(),
		})
	}
	return &controlpb.RecordAuditResponse{}
}

// Audit returns up to limit records whose sequence is greater than after, oldest
// first. A non-empty actor or action selects the records that match it.
func (m *Machine) Audit(after uint64, limit int, actor, action string) []*controlpb.AuditRecord {
	var list []*controlpb.AuditRecord
	for _, r := range m.auditAfter(after) {
		if len(list) == limit {
			break
		}
		if (actor == "" || actor == r.GetActor()) && (action == "" || action == r.GetAction()) {
			list = append(list, r)
		}
	}
	return list
}

func (m *Machine) auditAfter(after uint64) []*controlpb.AuditRecord {
	records := m.audit.records
	if len(records) == 0 || after < records[0].GetSequence() {
		return records
	}
	start := after - records[0].GetSequence() + 1
	return records[min(start, uint64(len(records))):]
}
