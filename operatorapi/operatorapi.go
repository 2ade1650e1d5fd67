// Package operatorapi serves the operators' HTTP/JSON interface on every gateway.
// It holds no state: each call is answered from the control replicas and the
// schedulers, so any entry host serves any call.
package operatorapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"geraniumwall/config"
	"geraniumwall/control/client"
	"geraniumwall/membership"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/rpc/protocol"
	"geraniumwall/rpc/schedulerpb"
	"geraniumwall/transport"
)

// Prefix is the path under which a gateway mounts the handler.
const Prefix = "/v1/operator/"

// HeaderOperator names the operator who makes a change.
const HeaderOperator = "Geranium-Operator"

const (
	maxConfigBytes = 4 << 20
	callTimeout    = 5 * time.Second
	defaultLimit   = 100
	maxLimit       = 10_000
)

// Scheduler is the address of one scheduler.
type Scheduler struct {
	Name    string
	Domain  string
	Address string
}

// Directory tells who is in the fleet now. Members may return nothing.
type Directory struct {
	Schedulers func() []Scheduler
	Members    func() []membership.Member
}

// Server answers operators.
type Server struct {
	control   *client.Client
	directory Directory
	http      *http.Client
}

type scheduler struct {
	Scheduler
	stub schedulerpb.Scheduler
}

// New returns the handler, to be mounted at Prefix.
func New(control *client.Client, directory Directory, httpClient *http.Client) http.Handler {
	s := &Server{control: control, directory: directory, http: httpClient}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Prefix+"config", s.getConfig)
	mux.HandleFunc("PUT "+Prefix+"config", s.applyConfig)
	mux.HandleFunc("GET "+Prefix+"history", s.history)
	mux.HandleFunc("GET "+Prefix+"audit", s.audit)
	mux.HandleFunc("GET "+Prefix+"status", s.status)
	mux.HandleFunc("GET "+Prefix+"explain/{subject}", s.explain)
	mux.HandleFunc("POST "+Prefix+"drain/{worker}", s.drain)
	mux.HandleFunc("POST "+Prefix+"replica/{change}", s.changeReplica)
	return refuseOtherNames(mux)
}

// schedulers returns the schedulers that are known now.
func (s *Server) schedulers() []scheduler {
	var list []scheduler
	for _, one := range s.directory.Schedulers() {
		list = append(list, scheduler{one, schedulerpb.NewSchedulerProtobufClient(transport.URL(one.Address), s.http, protocol.Client())})
	}
	return list
}

func (s *Server) getConfig(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	if text := r.URL.Query().Get("version"); text != "" {
		s.getVersion(ctx, w, text)
		return
	}
	answer, err := client.Any(ctx, s.control, 0, controlpb.Control.GetConfig, &controlpb.GetConfigRequest{})
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, versionOf(answer.GetConfig()))
}

func (s *Server) getVersion(ctx context.Context, w http.ResponseWriter, text string) {
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil || version == 0 {
		writeProblem(w, badInput("version", "use a number from geranium history"))
		return
	}
	answer, err := client.Call(ctx, s.control, "ListConfigs", 0, controlpb.Control.ListConfigs,
		&controlpb.ListConfigsRequest{AfterVersion: version - 1, Limit: 1, WithContent: true})
	found := answer.GetVersions()
	switch {
	case err != nil:
		writeProblem(w, err)
	case len(found) == 0 || found[0].GetVersion() != version:
		writeProblem(w, &Problem{Status: http.StatusNotFound, Title: "no such version",
			Detail: fmt.Sprintf("configuration version %d is not kept; list the versions with geranium history", version)})
	default:
		writeJSON(w, http.StatusOK, versionOf(found[0]))
	}
}

func (s *Server) applyConfig(w http.ResponseWriter, r *http.Request) {
	change, err := readChange(w, r)
	if err != nil {
		writeProblem(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	answer, err := client.Call(ctx, s.control, "ApplyConfig", 0, controlpb.Control.ApplyConfig, change)
	if err != nil {
		writeProblem(w, err)
		return
	}
	status := http.StatusOK
	if !answer.GetAccepted() {
		status = http.StatusConflict
	}
	writeJSON(w, status, applyResult(answer))
}

func readChange(w http.ResponseWriter, r *http.Request) (*controlpb.ApplyConfigRequest, error) {
	query := r.URL.Query()
	base, err := strconv.ParseUint(query.Get("base"), 10, 64)
	if err != nil {
		return nil, badInput("base", "name the version that the change was made from; 0 for the first configuration")
	}
	id := query.Get("change")
	if id == "" {
		return nil, badInput("change", "send an id of your own and repeat it when you resend the change")
	}
	author, err := operatorOf(r)
	if err != nil {
		return nil, err
	}
	document, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBytes))
	if err != nil {
		return nil, &Problem{Status: http.StatusRequestEntityTooLarge, Title: "configuration too large",
			Detail: fmt.Sprintf("the document is above %d bytes or was cut off; send a smaller one", maxConfigBytes)}
	}
	parsed, err := config.Parse(document)
	if err != nil {
		return nil, err
	}
	canonical, err := config.Marshal(parsed)
	if err != nil {
		return nil, err
	}
	return &controlpb.ApplyConfigRequest{
		ChangeId: id, BaseVersion: base, Author: author, Content: canonical, Comment: query.Get("comment"),
	}, nil
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	after, limit, err := page(r)
	if err != nil {
		writeProblem(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	answer, err := client.Call(ctx, s.control, "ListConfigs", 0, controlpb.Control.ListConfigs,
		&controlpb.ListConfigsRequest{AfterVersion: after, Limit: limit})
	if err != nil {
		writeProblem(w, err)
		return
	}
	versions := make([]Version, 0, len(answer.GetVersions()))
	for _, v := range answer.GetVersions() {
		versions = append(versions, versionOf(v))
	}
	writeJSON(w, http.StatusOK, versions)
}

func (s *Server) audit(w http.ResponseWriter, r *http.Request) {
	after, limit, err := page(r)
	if err != nil {
		writeProblem(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	answer, err := client.Call(ctx, s.control, "ListAudit", 0, controlpb.Control.ListAudit, &controlpb.ListAuditRequest{
		AfterSequence: after, Limit: limit, Actor: r.URL.Query().Get("actor"), Action: r.URL.Query().Get("action"),
	})
	if err != nil {
		writeProblem(w, err)
		return
	}
	records := make([]AuditRecord, 0, len(answer.GetRecords()))
	for _, record := range answer.GetRecords() {
		records = append(records, auditRecordOf(record))
	}
	writeJSON(w, http.StatusOK, records)
}

func page(r *http.Request) (uint64, int32, error) {
	after, limit := uint64(0), uint64(defaultLimit)
	var err error
	if text := r.URL.Query().Get("after"); text != "" {
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			return 0, 0, badInput("after", "use the number of the last entry that you have")
		}
	}
	if text := r.URL.Query().Get("limit"); text != "" {
		if limit, err = strconv.ParseUint(text, 10, 31); err != nil || limit == 0 || limit > maxLimit {
			return 0, 0, badInput("limit", fmt.Sprintf("use 1 to %d", maxLimit))
		}
	}
	return after, int32(limit), nil
}

// Problem is an error of the operators' interface in the form of RFC 9457.
type Problem struct {
	Status int    `json:"status"`
	Title  string `json:"title"`
	Detail string `json:"detail"`
	// Outcome is not_run or unknown for a failed change.
	Outcome  string           `json:"outcome,omitempty"`
	Problems []config.Problem `json:"problems,omitempty"`
}

// Error returns the title and the detail.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }

func badInput(field, remedy string) *Problem {
	return &Problem{Status: http.StatusBadRequest, Title: "invalid " + field, Detail: remedy, Outcome: "not_run"}
}

func problemOf(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	var check *config.CheckError
	if errors.As(err, &check) {
		return &Problem{Status: http.StatusUnprocessableEntity, Title: "configuration refused",
			Detail: "correct every listed problem; nothing was changed", Outcome: "not_run", Problems: check.Problems}
	}
	var te twirp.Error
	if errors.As(err, &te) && te.Code() == twirp.InvalidArgument {
		return &Problem{Status: http.StatusBadRequest, Title: "refused by the control replicas", Detail: te.Msg(), Outcome: "not_run"}
	}
	var failed *client.Error
	if errors.As(err, &failed) {
		return &Problem{Status: http.StatusServiceUnavailable, Title: "control replicas unreachable",
			Detail: failed.Error(), Outcome: string(failed.Outcome)}
	}
	return &Problem{Status: http.StatusServiceUnavailable, Title: "call failed", Detail: err.Error()}
}

func writeProblem(w http.ResponseWriter, err error) {
	p := problemOf(err)
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
