package operator

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"geraniumwall/operatorapi"
	"geraniumwall/rpc/controlpb"
)

const (
	tablePadding = 2
	roleActive   = "active"
	kindGateway  = "gateway"
	// stateLeader and stateAnswers are the states of control replicas that run.
	stateLeader  = "leader"
	stateAnswers = "answers"
	// seenRecently is above the long poll of 10 s of a process that follows the
	// configuration, with the time until the leader hears of it: a live gateway was
	// last seen 15.1 s ago after a partition.
	seenRecently = 20 * time.Second
)

// table writes rows in aligned columns.
func table(w io.Writer, header string, rows []string) error {
	tabs := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	if _, err := fmt.Fprintln(tabs, header); err != nil {
		return err
	}
	for _, row := range rows {
		if _, err := fmt.Fprintln(tabs, row); err != nil {
			return err
		}
	}
	return tabs.Flush()
}

func row(cells ...any) string {
	parts := make([]string, len(cells))
	for i, c := range cells {
		parts[i] = fmt.Sprint(c)
	}
	return strings.Join(parts, "\t")
}

func clock(unixMS int64) string {
	if unixMS == 0 {
		return "-"
	}
	return time.UnixMilli(unixMS).UTC().Format(time.RFC3339)
}

// WriteHistory writes configuration versions as a table.
func WriteHistory(w io.Writer, versions []operatorapi.Version) error {
	rows := make([]string, 0, len(versions))
	for _, v := range versions {
		rows = append(rows, row(v.Version, clock(v.AcceptedUnixMS), v.Author, v.ChangeID, v.Comment))
	}
	return table(w, "VERSION\tACCEPTED\tOPERATOR\tCHANGE\tCOMMENT", rows)
}

// WriteAudit writes audit records as a table.
func WriteAudit(w io.Writer, records []operatorapi.AuditRecord) error {
	rows := make([]string, 0, len(records))
	for _, r := range records {
		rows = append(rows, row(r.Sequence, clock(r.UnixMS), r.Actor, r.Action, r.Subject, r.Result, r.Detail))
	}
	return table(w, "SEQUENCE\tTIME\tACTOR\tACTION\tSUBJECT\tRESULT\tDETAIL", rows)
}

// ExplainKept says how long decisions can be explained.
const ExplainKept = "Each scheduler keeps its newest 16,384 decisions for up to one hour, in memory: " +
	"they end with its process."

// WriteDecisions writes explained decisions as a table.
func WriteDecisions(w io.Writer, decisions []operatorapi.Decision) error {
	rows := make([]string, 0, len(decisions))
	for _, d := range decisions {
		rows = append(rows, row(clock(d.UnixMS), d.Kind, d.Subject, d.Worker, d.Reason, d.Figures))
	}
	return table(w, "TIME\tKIND\tSUBJECT\tWORKER\tREASON\tFIGURES", rows)
}

// WriteStatus writes the state of the fleet as tables.
func WriteStatus(w io.Writer, s operatorapi.Status, withWorkers bool) error {
	if s.Control == nil {
		if _, err := fmt.Fprintln(w, "control replicas: no answer; latency-critical requests go on, durable work waits"); err != nil {
			return err
		}
	} else if err := writeControl(w, s); err != nil {
		return err
	}
	rows := make([]string, 0, len(s.Schedulers))
	for _, one := range s.Schedulers {
		rows = append(rows, row(one.Domain, one.Scheduler, orText(one.Role, "-"), one.Epoch, len(one.Workers),
			one.Waiting, one.Running, one.ConfigVersion, one.SchedulerLeaseMS, one.DomainLeaseMS, orText(one.Error, "ok")))
	}
	header := "DOMAIN\tSCHEDULER\tROLE\tEPOCH\tWORKERS\tWAITING\tRUNNING\tCONFIG\tLEASE_MS\tDOMAIN_LEASE_MS\tSTATE"
	if err := table(w, header, rows); err != nil {
		return err
	}
	if err := writeMembers(w, s.Members); err != nil {
		return err
	}
	if err := writeSetAside(w, s); err != nil || !withWorkers {
		return err
	}
	return writeWorkers(w, s)
}

// writeMembers writes the processes that gossip with each other, if any do.
func writeMembers(w io.Writer, members []operatorapi.MemberStatus) error {
	if len(members) == 0 {
		return nil
	}
	rows := make([]string, 0, len(members))
	for _, m := range members {
		rows = append(rows, row(m.Domain, m.Name, m.Kind, m.Address, m.State))
	}
	return table(w, "DOMAIN\tMEMBER\tKIND\tADDRESS\tSTATE", rows)
}

// writeSetAside writes the workers that get no work, or less of it, and why. A worker
// that nobody has set aside takes no line, and without any there is no table.
func writeSetAside(w io.Writer, s operatorapi.Status) error {
	var rows []string
	for _, one := range s.Schedulers {
		if one.Role != roleActive {
			continue
		}
		for _, k := range one.Workers {
			if k.Reason != "" {
				rows = append(rows, row(one.Domain, k.Worker, k.State, k.Reason))
			}
		}
	}
	if len(rows) == 0 {
		return nil
	}
	return table(w, "DOMAIN\tSET_ASIDE\tSTATE\tREASON", rows)
}

func writeControl(w io.Writer, s operatorapi.Status) error {
	c := s.Control
	_, err := fmt.Fprintf(w, "configuration %d, log term %d, leader %d, committed %d\n",
		c.GetConfigVersion(), c.GetTerm(), c.GetLeader(), c.GetCommitIndex())
	if err != nil {
		return err
	}
	if !c.GetConfirmed() {
		if _, err := fmt.Fprintln(w, "not confirmed by a quorum: this is what one replica knows and may be old"); err != nil {
			return err
		}
	}
	if err := writeQuorum(w, c.GetReplicas()); err != nil {
		return err
	}
	rows := make([]string, 0, len(c.GetReplicas()))
	for _, r := range c.GetReplicas() {
		rows = append(rows, row(r.GetId(), r.GetDomain(), r.GetAddress(), r.GetVoter(), r.GetMatchIndex(),
			orText(r.GetState(), "-"), r.GetSilenceMs()))
	}
	if err := table(w, "REPLICA\tDOMAIN\tADDRESS\tVOTER\tMATCH\tSTATE\tSILENT_MS", rows); err != nil {
		return err
	}
	return writeGateways(w, c.GetProcesses())
}

// writeQuorum writes how many voters are left before the log stops, as the leader sees
// them. Without a leader nobody knows which ones answer.
func writeQuorum(w io.Writer, replicas []*controlpb.ReplicaStatus) error {
	voters, present, led := 0, 0, false
	for _, r := range replicas {
		led = led || r.GetState() == stateLeader
		if r.GetVoter() {
			voters++
			if r.GetState() == stateLeader || r.GetState() == stateAnswers {
				present++
			}
		}
	}
	answering := "-"
	if led {
		answering = fmt.Sprint(present)
	}
	_, err := fmt.Fprintf(w, "replicas %d, voters %d, answering voters %s, quorum %d\n", len(replicas), voters, answering, voters/2+1)
	return err
}

// writeGateways writes when each gateway was last heard of. A gateway that stopped
// stays in the list until the control replicas forget it.
func writeGateways(w io.Writer, processes []*controlpb.ProcessStatus) error {
	var rows []string
	for _, p := range processes {
		if p.GetKind() == kindGateway {
			rows = append(rows, row(p.GetDomain(), p.GetProcess(), p.GetConfigVersion(), p.GetSeenMsAgo()))
		}
	}
	return table(w, "DOMAIN\tGATEWAY\tCONFIG\tSEEN_MS", rows)
}

// WriteReplicas writes the control replicas as a table.
func WriteReplicas(w io.Writer, replicas []operatorapi.Replica) error {
	rows := make([]string, 0, len(replicas))
	for _, r := range replicas {
		rows = append(rows, row(r.ID, r.Domain, r.Address, r.Voter, r.MatchIndex))
	}
	return table(w, "REPLICA\tDOMAIN\tADDRESS\tVOTER\tMATCH", rows)
}

func writeWorkers(w io.Writer, s operatorapi.Status) error {
	var rows []string
	for _, one := range s.Schedulers {
		if one.Role != roleActive {
			continue
		}
		for _, k := range one.Workers {
			rows = append(rows, row(one.Domain, k.Rack, k.Worker, k.State, k.FreeCPUMillis, k.FreeMemoryMB,
				k.FreeAccelerators, k.Tasks, fmt.Sprintf("%d/%d", k.SlotsGranted, k.Slots), k.HeartbeatAgeMS))
		}
	}
	return table(w, "DOMAIN\tRACK\tWORKER\tSTATE\tFREE_MILLICORES\tFREE_MB\tFREE_ACCEL\tTASKS\tSLOTS\tHEARTBEAT_MS", rows)
}

func orText(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}

// Behind names the processes that have an older version than version in force,
// as far as the control leader has heard from them in the last seconds.
func Behind(s operatorapi.Status, version uint64) []string {
	var behind []string
	for _, p := range s.Control.GetProcesses() {
		if p.GetConfigVersion() < version && p.GetSeenMsAgo() < seenRecently.Milliseconds() {
			behind = append(behind, p.GetProcess())
		}
	}
	return behind
}
