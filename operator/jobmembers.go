package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"geraniumwall/jobd/memberapi"
	"geraniumwall/transport"
)

const (
	// jobMembersTimeout limits a request to a job replica.
	jobMembersTimeout = 2 * time.Second
	maxMembersBytes   = 1 << 20
)

// JobMembers returns the members of the log as the job replica with the peer address knows them.
func JobMembers(ctx context.Context, address string) (m memberapi.Membership, err error) {
	timeoutCtx, cancel := context.WithTimeout(ctx, jobMembersTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(timeoutCtx, http.MethodGet, transport.URL(address)+memberapi.Path, nil)
	if err != nil {
		return m, fmt.Errorf("%q is no address of host and port: %w", address, err)
	}
	response, err := http.DefaultClient.Do(q)
	if err != nil {
		return m, fmt.Errorf("ask the job replica: %w; compare the address with its peer_listen, or ask another one", err)
	}
	defer func() { err = errors.Join(err, response.Body.Close()) }()
	if response.StatusCode != http.StatusOK {
		return m, fmt.Errorf("the job replica at %s answered %s; ask again once it has started, or ask another one", address, response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxMembersBytes)).Decode(&m); err != nil {
		return m, fmt.Errorf("decode the members: %w", err)
	}
	return m, nil
}

// WriteJobMembers writes the members of the log of the job replicas as a table.
func WriteJobMembers(w io.Writer, m memberapi.Membership) error {
	_, err := fmt.Fprintf(w, "replica %d, log term %d, leader %d at %s, target %d voters, quorum %d votes\n",
		m.Replica, m.Term, m.Leader, orText(m.LeaderAddress, "-"), m.TargetVoters, m.Quorum)
	if err != nil {
		return err
	}
	for _, note := range membershipNotes(m) {
		if _, err := fmt.Fprintln(w, note); err != nil {
			return err
		}
	}
	rows := make([]string, 0, len(m.Members))
	for i := range m.Members {
		one := &m.Members[i]
		rows = append(rows, row(one.ID, orText(one.Domain, "-"), one.Address, one.Voter, one.State, orDash(one.SilenceMS), orDash(one.Match),
			orDash(one.CaughtUp), one.Surplus, one.Successor, orText(one.Waits, "-")))
	}
	return table(w, "REPLICA\tDOMAIN\tADDRESS\tVOTER\tSTATE\tSILENCE_MS\tMATCH\tCAUGHT_UP\tSURPLUS\tSUCCESSOR\tWAITS", rows)
}

// membershipNotes returns the lines above the table of the members.
func membershipNotes(m memberapi.Membership) []string {
	var notes, lacking []string
	for i := range m.Members {
		if one := &m.Members[i]; one.Vote == memberapi.VoteMissing || one.Vote == memberapi.VoteRefused {
			lacking = append(lacking, fmt.Sprintf("%d at %s (%s)", one.ID, one.Address, one.Vote))
		}
	}
	if m.Campaigns {
		notes = append(notes, "this replica knows no leader and asks for votes; it lacks those of "+orText(strings.Join(lacking, ", "), "none"))
	}
	if m.ChangePending {
		notes = append(notes, "the last change of the membership is in force and not known to be committed")
	}
	if !m.Leads {
		notes = append(notes, "this replica does not lead: this is what it knows and may be old")
	}
	return notes
}

// orDash returns a value that may be unknown as text.
func orDash[T any](value *T) string {
	if value == nil {
		return "-"
	}
	return fmt.Sprint(*value)
}
