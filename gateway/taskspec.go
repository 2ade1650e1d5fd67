package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"geraniumwall/config"
	"geraniumwall/rpc/controlpb"
)

// TaskSubmission is the JSON body of a submission. Unset fields take the values of
// the job's configuration.
type TaskSubmission struct {
	Team       string            `json:"team,omitempty"`
	Job        string            `json:"job"`
	Priority   config.Priority   `json:"priority,omitempty"`
	Resources  *config.Resources `json:"resources,omitempty"`
	ExpectedMS int64             `json:"expected_ms,omitempty"`
	// Domain is the preferred failure domain.
	Domain  string          `json:"domain,omitempty"`
	Payload json.RawMessage `json:"payload,omitempty"`
}

var priorities = map[config.Priority]controlpb.Priority{
	config.Urgent: controlpb.Priority_PRIORITY_URGENT,
	config.Normal: controlpb.Priority_PRIORITY_NORMAL,
	config.Batch:  controlpb.Priority_PRIORITY_BATCH,
}

var priorityNames = map[controlpb.Priority]config.Priority{
	controlpb.Priority_PRIORITY_URGENT: config.Urgent,
	controlpb.Priority_PRIORITY_NORMAL: config.Normal,
	controlpb.Priority_PRIORITY_BATCH:  config.Batch,
}

// decodeStrict decodes exactly one JSON value without unknown fields.
func decodeStrict(r io.Reader, out any) error {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(out); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the end of the document")
	}
	return nil
}

// spec checks the submission against the configuration and fills in the defaults.
func (t TaskSubmission) spec(c *config.Config, caller, key string) (*controlpb.TaskSpec, *Problem) {
	job, known := c.FindJob(t.Job)
	if !known {
		return nil, undeclared("job", t.Job)
	}
	t = t.withDefaults(job)
	if problem := t.check(c); problem != nil {
		return nil, problem
	}
	return &controlpb.TaskSpec{
		Caller: caller, IdempotencyKey: key, Team: t.Team, Job: t.Job, Priority: priorities[t.Priority],
		Resources: &controlpb.Resources{
			CpuMillis: t.Resources.CPUMillis, MemoryMb: t.Resources.MemoryMB, Accelerators: t.Resources.Accelerators,
		},
		ExpectedMs: t.ExpectedMS, Domain: t.Domain, Payload: t.Payload,
	}, nil
}

func (t TaskSubmission) withDefaults(job config.Job) TaskSubmission {
	if t.Team == "" {
		t.Team = job.Team
	}
	if t.Priority == "" {
		t.Priority = job.Priority
	}
	if t.Resources == nil {
		t.Resources = &job.Size
	}
	if t.ExpectedMS == 0 {
		t.ExpectedMS = job.ExpectedMS
	}
	return t
}

func (t TaskSubmission) check(c *config.Config) *Problem {
	if _, known := c.FindTeam(t.Team); !known {
		return undeclared("team", t.Team)
	}
	if t.Domain != "" && !slices.Contains(c.Domains, t.Domain) {
		return undeclared("domain", t.Domain)
	}
	if _, known := priorities[t.Priority]; !known {
		return invalid(fmt.Sprintf("priority %q does not exist; use urgent, normal or batch", t.Priority))
	}
	if t.Resources.CPUMillis <= 0 || t.Resources.MemoryMB < 0 || t.Resources.Accelerators < 0 {
		return invalid("resources need cpu_millis above zero and no negative amount")
	}
	if t.ExpectedMS < 0 {
		return invalid("expected_ms must not be negative")
	}
	return nil
}

func undeclared(kind, name string) *Problem {
	return invalid(fmt.Sprintf("%s %q is not declared; declare it in the configuration or correct the name", kind, name))
}

// TaskView is the JSON form of a task.
type TaskView struct {
	ID              string          `json:"id"`
	State           string          `json:"state"`
	Team            string          `json:"team"`
	Job             string          `json:"job"`
	Priority        config.Priority `json:"priority"`
	Domain          string          `json:"domain,omitempty"`
	Evictions       int32           `json:"evictions"`
	Failures        int32           `json:"failures"`
	Reason          string          `json:"reason,omitempty"`
	CancelRequested bool            `json:"cancel_requested,omitempty"`
	AcceptedUnixMS  int64           `json:"accepted_unix_ms"`
}

var stateNames = map[controlpb.TaskState]string{
	controlpb.TaskState_TASK_STATE_PENDING:   "pending",
	controlpb.TaskState_TASK_STATE_BOUND:     "bound",
	controlpb.TaskState_TASK_STATE_DONE:      "done",
	controlpb.TaskState_TASK_STATE_FAILED:    "failed",
	controlpb.TaskState_TASK_STATE_CANCELLED: "cancelled",
	controlpb.TaskState_TASK_STATE_REJECTED:  "rejected",
}

func viewOf(t *controlpb.Task) TaskView {
	return TaskView{
		ID: t.GetId(), State: stateNames[t.GetState()],
		Team: t.GetSpec().GetTeam(), Job: t.GetSpec().GetJob(),
		Priority: priorityNames[t.GetSpec().GetPriority()], Domain: t.GetDomain(),
		Evictions: t.GetEvictions(), Failures: t.GetFailures(), Reason: t.GetReason(),
		CancelRequested: t.GetCancelRequested(), AcceptedUnixMS: t.GetAcceptedUnixMs(),
	}
}
