package operatorapi

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/twitchtv/twirp"

	"geraniumwall/control/client"
	"geraniumwall/rpc/controlpb"
)

// ReplicaChange is a change of the membership of the control replicas.
type ReplicaChange string

// Changes of the membership, one at a time.
const (
	// AddReplica adds a learner under an id that was never used.
	AddReplica ReplicaChange = "add"
	// PromoteReplica makes a learner that has caught up a voter.
	PromoteReplica ReplicaChange = "promote"
	// RemoveReplica removes a replica for good.
	RemoveReplica ReplicaChange = "remove"
)

var controlChanges = map[ReplicaChange]string{
	AddReplica: "add_learner", PromoteReplica: "promote", RemoveReplica: "remove",
}

// Replica is one member of the control replicas.
type Replica struct {
	ID         uint64 `json:"id"`
	Address    string `json:"address"`
	Domain     string `json:"domain"`
	Voter      bool   `json:"voter"`
	MatchIndex uint64 `json:"match_index"`
}

func (s *Server) changeReplica(w http.ResponseWriter, r *http.Request) {
	change, err := readReplicaChange(r)
	if err != nil {
		writeProblem(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	answer, err := client.Call(ctx, s.control, "ChangeMembers", 0, controlpb.Control.ChangeMembers, change)
	if err != nil {
		writeProblem(w, refusedMembership(err))
		return
	}
	replicas := make([]Replica, 0, len(answer.GetReplicas()))
	for _, one := range answer.GetReplicas() {
		replicas = append(replicas, Replica{
			ID: one.GetId(), Address: one.GetAddress(), Domain: one.GetDomain(), Voter: one.GetVoter(), MatchIndex: one.GetMatchIndex(),
		})
	}
	writeJSON(w, http.StatusOK, replicas)
}

func readReplicaChange(r *http.Request) (*controlpb.ChangeMembersRequest, error) {
	change, known := controlChanges[ReplicaChange(r.PathValue("change"))]
	if !known {
		return nil, badInput("change", "use add, promote or remove")
	}
	query := r.URL.Query()
	id, err := strconv.ParseUint(query.Get("id"), 10, 64)
	if err != nil || id == 0 {
		return nil, badInput("id", "use the positive number of the replica; geranium status lists them")
	}
	result := &controlpb.ChangeMembersRequest{Change: change, Id: id, Address: query.Get("address"), Domain: query.Get("domain")}
	if r.PathValue("change") == string(AddReplica) && (result.Address == "" || result.Domain == "") {
		return nil, badInput("address or domain", "name the address and the domain of the new replica")
	}
	return result, nil
}

// refusedMembership turns a definite refusal into a problem that is not retried. A
// refusal after an attempt without an answer may be caused by that attempt, so it
// stays unknown.
func refusedMembership(err error) error {
	var te twirp.Error
	var failed *client.Error
	if errors.As(err, &te) && te.Code() == twirp.FailedPrecondition && errors.As(err, &failed) && failed.Outcome == "not_run" {
		return &Problem{Status: http.StatusConflict, Title: "membership not changed", Detail: te.Msg(), Outcome: "not_run"}
	}
	return err
}
