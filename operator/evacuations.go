package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"geraniumwall/jobd/evacuationapi"
	"geraniumwall/relay"
	"geraniumwall/transport"
)

const (
	// evacuationTimeout limits an order with the calls of other replicas.
	evacuationTimeout = 5 * time.Second
	// maxLeaderHints bounds the replicas that one order follows to the leader.
	maxLeaderHints     = 3
	maxEvacuationBytes = 1 << 20
	maxRefusalBytes    = 4 << 10
)

// Evacuate evacuates a failure domain through the job replica with the peer address, or revokes
// the evacuation if evacuated is false. name is the operator's.
func Evacuate(ctx context.Context, address, domain, name string, evacuated bool) (o evacuationapi.Order, err error) {
	method := http.MethodDelete
	if evacuated {
		method = http.MethodPut
	}
	err = callJobLeader(ctx, address, method, evacuationapi.Path+"/"+url.PathEscape(domain), name, &o)
	return o, err
}

// Evacuations returns the evacuations that are in force and the audit records.
func Evacuations(ctx context.Context, address string) (e evacuationapi.Evacuations, err error) {
	err = callJobLeader(ctx, address, http.MethodGet, evacuationapi.Path, "", &e)
	return e, err
}

// callJobLeader sends a request to a job replica, and to the leader that it names if it does not
// lead, and decodes the answer.
func callJobLeader(ctx context.Context, address, method, path, name string, answer any) error {
	timeoutCtx, cancel := context.WithTimeout(ctx, evacuationTimeout)
	defer cancel()
	for range maxLeaderHints {
		leader, err := callJobReplica(timeoutCtx, address, method, path, name, answer)
		if err != nil || leader == "" {
			return err
		}
		address = leader
	}
	return fmt.Errorf("the job replicas name other leaders in turn, the last one %s; nothing was done, try again", address)
}

// callJobReplica sends a request to one job replica. It returns the address of the leader if
// the replica does not lead and knows another one.
func callJobReplica(ctx context.Context, address, method, path, name string, answer any) (leader string, err error) {
	q, err := http.NewRequestWithContext(ctx, method, transport.URL(address)+path, nil)
	if err != nil {
		return "", fmt.Errorf("%q is no address of host and port: %w", address, err)
	}
	if name != "" {
		q.Header.Set(evacuationapi.HeaderOperator, name)
	}
	response, err := http.DefaultClient.Do(q)
	if err != nil {
		return "", fmt.Errorf("ask the job replica: %w; compare the address with its peer_listen, or repeat the order at another one", err)
	}
	defer func() { err = errors.Join(err, response.Body.Close()) }()
	if _, refused := response.Header[http.CanonicalHeaderKey(relay.HeaderNotLeader)]; refused {
		if leader := response.Header.Get(relay.HeaderNotLeader); leader != "" && leader != address {
			return leader, nil
		}
		return "", fmt.Errorf("the job replica at %s knows no leader and did nothing; try again, or see geranium job-members", address)
	}
	if response.StatusCode != http.StatusOK {
		text, readErr := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
		return "", errors.Join(fmt.Errorf("the job replica at %s answered %s: %s", address, response.Status, strings.TrimSpace(string(text))), readErr)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxEvacuationBytes)).Decode(answer); err != nil {
		return "", fmt.Errorf("decode the answer: %w", err)
	}
	return "", nil
}

// WriteEvacuations writes the evacuations that are in force, and the audit records, as tables.
func WriteEvacuations(w io.Writer, e evacuationapi.Evacuations) error {
	rows := make([]string, 0, len(e.InForce))
	for i := range e.InForce {
		one := &e.InForce[i]
		rows = append(rows, row(one.Domain, clock(one.SinceMS), orText(one.Operator, "-"), one.Workers))
	}
	if err := table(w, "DOMAIN\tEVACUATED_SINCE\tOPERATOR\tWORKERS", rows); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(w); err != nil {
		return err
	}
	rows = rows[:0]
	for i := range e.Records {
		one := &e.Records[i]
		rows = append(rows, row(one.Number, clock(one.AtMS), one.Domain, one.Action, orText(one.Operator, "-"), one.Replica))
	}
	return table(w, "RECORD\tTIME\tDOMAIN\tACTION\tOPERATOR\tREPLICA", rows)
}
