package jobd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"geraniumwall/relay"
	"geraniumwall/transport"
)

const (
	// joinTimeout limits one request of a joining replica.
	joinTimeout = 500 * time.Millisecond
	// viewInterval is the pause until a candidate is asked again for its view of the cluster.
	viewInterval = 150 * time.Millisecond
	// joinRetryInterval is the pause between two requests to join to the same leader.
	joinRetryInterval = 50 * time.Millisecond
	// joinReportInterval is the interval of the log lines while a replica joins.
	joinReportInterval = time.Second
	// maxAskedCandidates bounds the candidates that are asked at the same time.
	maxAskedCandidates = 16
	// maxCandidates bounds the candidates that a joining replica knows.
	maxCandidates = 64
)

// candidate is a replica that may know the leader.
type candidate struct {
	address string
	// asked is set while it is asked for its view.
	asked bool
	// dueAt is when it is asked next.
	dueAt time.Time
	// silent is set if it has not answered the last request.
	silent bool
	// answer is what it answered last, for the log.
	answer string
}

// Answers of candidates, as they are logged.
const (
	answerNone      = "no answer"
	answerNotReady  = "not ready"
	answerNotLeader = "not leader"
	answerLeader    = "leader"
	answerPending   = "not committed yet"
)

// viewAnswer is the answer of a candidate that was asked for its view.
type viewAnswer struct {
	address string
	view    relay.ClusterView
	err     error
}

// joinAnswer is the answer to a request to join.
type joinAnswer struct {
	address  string
	response joinResponse
	err      error
}

// joiner joins the log. It asks all candidates at the same time who leads, and only the leader
// to add this replica: if two replicas granted an id each, the later one would replace the
// earlier one, which the joining replica may have taken.
type joiner struct {
	request    joinRequest
	client     *http.Client
	views      *relay.Relay
	log        zerolog.Logger
	candidates []*candidate
	// leader is the address of the replica that holds the leader's lease, empty if unknown.
	leader string
	// joinAt is when the leader is asked next. cancelJoin is set while it is asked.
	joinAt     time.Time
	cancelJoin context.CancelFunc
	answers    chan viewAnswer
	joins      chan joinAnswer
	// startedAt is when this replica began to join. reportAt is when the next line says how far
	// it is.
	startedAt, reportAt time.Time
}

// join requests to join the log until the leader grants it. It asks the seeds and the
// addresses from learned.
func join(ctx context.Context, s *Settings, seeds []string, firstStart bool, learned <-chan string, log zerolog.Logger) (Identity, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	j := &joiner{
		request: joinRequest{
			Address: s.PeerListen, Domain: s.Domain, Nonce: strconv.FormatInt(time.Now().UnixNano(), 36), FirstStart: firstStart,
		},
		client: transport.NewClient(transport.ClientOptions{Timeout: joinTimeout}), views: relay.New(nil, nil), log: log,
		answers: make(chan viewAnswer), joins: make(chan joinAnswer), startedAt: time.Now(),
	}
	j.reportAt = j.startedAt.Add(joinReportInterval)
	j.addCandidates(seeds...)
	log.Info().Strs("seeds", seeds).Msg("joining the log")
	return j.run(ctx, learned)
}

// run asks the candidates until the leader grants the request.
func (j *joiner) run(ctx context.Context, learned <-chan string) (Identity, error) {
	for {
		j.report()
		timer := time.NewTimer(time.Until(j.askDue(ctx)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return Identity{}, fmt.Errorf("join the log: %w", ctx.Err())
		case <-timer.C:
		case address := <-learned:
			j.addCandidates(address)
		case a := <-j.answers:
			j.handleView(a)
		case a := <-j.joins:
			if j.handleJoinAnswer(a) {
				timer.Stop()
				j.log.Info().Uint64("replica", a.response.ReplicaID).Str("leader", a.address).
					Int64("took_ms", time.Since(j.startedAt).Milliseconds()).Msg("joined the log")
				return Identity{ReplicaID: a.response.ReplicaID, Peers: a.response.Members}, nil
			}
		}
		timer.Stop()
	}
}

// report logs once in joinReportInterval what the candidates have answered.
func (j *joiner) report() {
	now := time.Now()
	if now.Before(j.reportAt) {
		return
	}
	j.reportAt = now.Add(joinReportInterval)
	asked := zerolog.Arr()
	for _, c := range j.candidates {
		if c.answer != "" {
			asked.Dict(zerolog.Dict().Str("address", c.address).Str("answer", c.answer))
		}
	}
	j.log.Info().Int64("joining_ms", now.Sub(j.startedAt).Milliseconds()).Int("known", len(j.candidates)).
		Str("leader", j.leader).Array("candidates", asked).Msg("still joining the log")
}

// viewAnswerText returns the answer of a candidate for the log.
func viewAnswerText(a viewAnswer) string {
	var syntax *json.SyntaxError
	switch {
	case errors.As(a.err, &syntax):
		return answerNotReady
	case a.err != nil:
		return answerNone
	case a.view.IsLeader:
		return answerLeader
	}
	return answerNotLeader
}

// setAnswer records an answer for the log. A view of a leader that has yet to commit the
// request says less than its answer to the request.
func (c *candidate) setAnswer(answer string) {
	if answer != answerLeader || c.answer != answerPending {
		c.answer = answer
	}
}

// addCandidates adds the addresses that are not known yet, so that they are asked before the
// others and the last one first. Without room they take the place of candidates that don't
// answer.
func (j *joiner) addCandidates(addresses ...string) {
	for _, address := range addresses {
		if address == j.request.Address || checkPeerAddress(address) != nil || j.find(address) != nil {
			continue
		}
		if len(j.candidates) == maxCandidates {
			i := slices.IndexFunc(j.candidates, func(c *candidate) bool { return c.silent && !c.asked })
			if i < 0 {
				return
			}
			j.candidates = slices.Delete(j.candidates, i, i+1)
		}
		j.candidates = slices.Insert(j.candidates, 0, &candidate{address: address})
	}
}

func (j *joiner) find(address string) *candidate {
	i := slices.IndexFunc(j.candidates, func(c *candidate) bool { return c.address == address })
	if i < 0 {
		return nil
	}
	return j.candidates[i]
}

// askDue asks the leader and the candidates that are due and returns when the next one is.
func (j *joiner) askDue(ctx context.Context) time.Time {
	now := time.Now()
	next := now.Add(viewInterval)
	if j.leader != "" && j.cancelJoin == nil {
		if now.Before(j.joinAt) {
			next = j.joinAt
		} else {
			j.askLeader(ctx)
		}
	}
	asked := 0
	for _, c := range j.candidates {
		if c.asked {
			asked++
		}
	}
	// New candidates are due since the zero time, and so come first.
	for _, c := range slices.SortedStableFunc(slices.Values(j.candidates), func(a, b *candidate) int { return a.dueAt.Compare(b.dueAt) }) {
		switch {
		case c.asked || asked >= maxAskedCandidates:
		case now.Before(c.dueAt):
			if c.dueAt.Before(next) {
				next = c.dueAt
			}
		default:
			asked++
			j.askView(ctx, c)
		}
	}
	return next
}

func (j *joiner) askView(ctx context.Context, c *candidate) {
	c.asked = true
	address := c.address
	go func() {
		view, err := j.views.FetchView(ctx, address)
		select {
		case j.answers <- viewAnswer{address, view, err}:
		case <-ctx.Done():
		}
	}()
}

// handleView follows the view of a candidate. Only the replica that holds the lease calls
// itself the leader, so that the newest claim counts.
func (j *joiner) handleView(a viewAnswer) {
	if c := j.find(a.address); c != nil {
		c.asked, c.silent, c.dueAt = false, a.err != nil, time.Now().Add(viewInterval)
		c.setAnswer(viewAnswerText(a))
	}
	if a.err != nil {
		return
	}
	if a.view.IsLeader {
		j.setLeader(a.address)
	}
	j.addCandidates(a.view.Members...)
	j.addCandidates(a.view.Leader)
}

// setLeader sets the replica to ask. A request to another one is given up.
func (j *joiner) setLeader(address string) {
	if j.leader == address {
		return
	}
	j.leader, j.joinAt = address, time.Time{}
	if j.cancelJoin != nil {
		j.cancelJoin()
		j.cancelJoin = nil
	}
}

func (j *joiner) askLeader(ctx context.Context) {
	joinCtx, cancel := context.WithCancel(ctx)
	j.cancelJoin = cancel
	address := j.leader
	go func() {
		defer cancel()
		response, err := requestJoin(joinCtx, j.client, address, j.request)
		select {
		case j.joins <- joinAnswer{address, response, err}:
		case <-joinCtx.Done():
		}
	}()
}

// handleJoinAnswer reports whether the leader has granted the request.
func (j *joiner) handleJoinAnswer(a joinAnswer) bool {
	if a.address != j.leader {
		return false
	}
	j.cancelJoin = nil
	if c := j.find(a.address); c != nil {
		c.setAnswer(joinAnswerText(a))
	}
	switch {
	case a.err != nil:
		j.log.Debug().Err(a.err).Msg("join request failed")
		j.setLeader("")
	case a.response.ReplicaID != 0:
		return true
	case a.response.Pending:
		j.joinAt = time.Now().Add(joinRetryInterval)
	default:
		j.setLeader("")
		j.addCandidates(slices.Collect(maps.Values(a.response.Members))...)
		j.addCandidates(a.response.Leader)
	}
	return false
}

// joinAnswerText returns the answer to a request to join for the log.
func joinAnswerText(a joinAnswer) string {
	switch {
	case a.err != nil:
		return answerNone
	case a.response.Pending:
		return answerPending
	case a.response.ReplicaID == 0:
		return answerNotLeader
	}
	return answerLeader
}

func requestJoin(ctx context.Context, client *http.Client, address string, q joinRequest) (joinResponse, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return joinResponse{}, fmt.Errorf("encode the join request: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, transport.URL(address)+pathJoin, bytes.NewReader(body))
	if err != nil {
		return joinResponse{}, fmt.Errorf("join request to %s: %w", address, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return joinResponse{}, fmt.Errorf("join request to %s: %w", address, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return joinResponse{}, fmt.Errorf("join request to %s: %w", address, err)
	}
	var result joinResponse
	if err := json.Unmarshal(data, &result); err != nil {
		return joinResponse{}, fmt.Errorf("join request to %s: %w", address, err)
	}
	return result, nil
}
