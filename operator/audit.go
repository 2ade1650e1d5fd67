package operator

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"geraniumwall/operatorapi"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/state"
)

// auditPage is the number of records fetched by one call.
const auditPage = 1000

// AuditSummary describes a verified part of the audit trail.
type AuditSummary struct {
	Records int `json:"records"`
	// First is above 1 if the replicas have dropped older records.
	First    uint64 `json:"first"`
	Last     uint64 `json:"last"`
	LastHash string `json:"last_hash"`
}

// Anchor is a record that was noted at an earlier verification. Without one, a
// trail that was rewritten and hashed again looks intact.
type Anchor struct {
	Sequence uint64
	Hash     string
}

// ParseAnchor reads an anchor of the form SEQUENCE:HASH; empty is none.
func ParseAnchor(text string) (Anchor, error) {
	if text == "" {
		return Anchor{}, nil
	}
	number, hash, found := strings.Cut(text, ":")
	sequence, err := strconv.ParseUint(number, 10, 64)
	if !found || err != nil || sequence == 0 || hash == "" {
		return Anchor{}, fmt.Errorf("anchor %q is not SEQUENCE:HASH; copy it from an earlier geranium audit -verify", text)
	}
	return Anchor{Sequence: sequence, Hash: hash}, nil
}

// WalkAudit calls f with each page of the whole audit trail, oldest first.
func (c *Client) WalkAudit(ctx context.Context, actor, action string, f func([]operatorapi.AuditRecord) error) error {
	for after := uint64(0); ; {
		page, err := c.Audit(ctx, after, auditPage, actor, action)
		if err != nil || len(page) == 0 {
			return err
		}
		if err := f(page); err != nil {
			return err
		}
		after = page[len(page)-1].Sequence
	}
}

// VerifyAudit checks the hash chain of the whole audit trail. The error names the
// first record that was edited, that follows a gap, or that differs from the anchor.
func (c *Client) VerifyAudit(ctx context.Context, anchor Anchor) (AuditSummary, error) {
	v := auditVerifier{anchor: anchor}
	if err := c.WalkAudit(ctx, "", "", v.page); err != nil {
		return v.summary, err
	}
	return v.summary, v.end()
}

// ExportAudit writes the whole audit trail as JSON lines, oldest first.
func (c *Client) ExportAudit(ctx context.Context, w io.Writer, actor, action string) error {
	encoder := json.NewEncoder(w)
	return c.WalkAudit(ctx, actor, action, func(page []operatorapi.AuditRecord) error {
		for _, r := range page {
			if err := encoder.Encode(r); err != nil {
				return fmt.Errorf("write the audit trail: %w", err)
			}
		}
		return nil
	})
}

// auditVerifier checks pages that follow each other.
type auditVerifier struct {
	anchor  Anchor
	last    *controlpb.AuditRecord
	summary AuditSummary
}

func (v *auditVerifier) page(records []operatorapi.AuditRecord) error {
	chain := make([]*controlpb.AuditRecord, 0, len(records)+1)
	if v.last != nil {
		chain = append(chain, v.last)
	} else if err := checkFirst(records[0]); err != nil {
		return err
	}
	for _, r := range records {
		record, err := hashedRecord(r)
		if err != nil {
			return err
		}
		chain = append(chain, record)
		if r.Sequence == v.anchor.Sequence && r.Hash != v.anchor.Hash {
			return fmt.Errorf("audit record %d differs from the anchor: its hash is %s; the trail was rewritten", r.Sequence, r.Hash)
		}
	}
	if err := state.VerifyAudit(chain); err != nil {
		return fmt.Errorf("verify the audit trail: %w", err)
	}
	v.last = chain[len(chain)-1]
	v.note(records)
	return nil
}

// checkFirst refuses a first record that claims a predecessor it cannot have.
func checkFirst(r operatorapi.AuditRecord) error {
	if r.Sequence == 1 && r.PreviousHash != "" {
		return fmt.Errorf("audit record 1 follows an unknown record; compare it on the other replicas")
	}
	return nil
}

func (v *auditVerifier) note(records []operatorapi.AuditRecord) {
	if v.summary.Records == 0 {
		v.summary.First = records[0].Sequence
	}
	newest := records[len(records)-1]
	v.summary.Records += len(records)
	v.summary.Last, v.summary.LastHash = newest.Sequence, newest.Hash
}

// end refuses a trail that ends before the anchor.
func (v *auditVerifier) end() error {
	if v.summary.Last < v.anchor.Sequence {
		return fmt.Errorf("the audit trail ends at record %d, before the anchor %d; records were removed at the end",
			v.summary.Last, v.anchor.Sequence)
	}
	if v.anchor.Sequence != 0 && v.anchor.Sequence < v.summary.First {
		return fmt.Errorf("the anchor %d is older than the first kept record %d; use a newer anchor",
			v.anchor.Sequence, v.summary.First)
	}
	return nil
}

// hashedRecord converts a record to the form over which its hash is taken.
func hashedRecord(r operatorapi.AuditRecord) (*controlpb.AuditRecord, error) {
	hash, err := hex.DecodeString(r.Hash)
	if err != nil {
		return nil, fmt.Errorf("audit record %d has an unreadable hash: %w", r.Sequence, err)
	}
	previous, err := hex.DecodeString(r.PreviousHash)
	if err != nil {
		return nil, fmt.Errorf("audit record %d has an unreadable previous hash: %w", r.Sequence, err)
	}
	return &controlpb.AuditRecord{
		Sequence: r.Sequence, UnixMs: r.UnixMS, Actor: r.Actor, Action: r.Action, Subject: r.Subject, Detail: r.Detail,
		FromVersion: r.FromVersion, ToVersion: r.ToVersion, Result: r.Result, PreviousHash: previous, Hash: hash,
	}, nil
}

// WriteAuditSummary writes the result of a verification for people.
func WriteAuditSummary(w io.Writer, s AuditSummary) error {
	_, err := fmt.Fprintf(w, "%d records, %d to %d: no gap and no edit\nanchor %d:%s\n",
		s.Records, s.First, s.Last, s.Last, s.LastHash)
	return err
}
