package replicate

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"geraniumwall/raft"
)

const (
	// delayReportInterval is the shortest time between two log lines about changes of the
	// membership that have to wait.
	delayReportInterval = 5 * time.Second
	// refusalNoticeTime is how long changes must have been refused until the log says so. The
	// change before may need this long to be committed.
	refusalNoticeTime = time.Second
)

// delay is a change of the membership that is wanted and has to wait.
type delay struct {
	member raft.Member
	// wanted is RemoveMember or PromoteLearner.
	wanted raft.ChangeKind
	reason string
}

// delays explains which silent members are not removed and which learners are not promoted.
// Changes that next makes are not among them.
func (p *membershipPlan) delays() []delay {
	var list []delay
	voters, target := p.voters(), targetVoters(p.replicas())
	_, found := p.bestLearner(voters)
	for _, m := range p.members {
		if m.SilentSinceID != 0 && p.silence[m.ID] >= replacementSilence {
			if reason := p.whyNotRemoved(m, found || len(voters) > target); reason != "" {
				list = append(list, delay{m, raft.RemoveMember, reason})
			}
		}
		if m.Learner && len(voters) < target {
			if reason := p.whyNotPromoted(m); reason != "" {
				list = append(list, delay{m, raft.PromoteLearner, reason})
			}
		}
	}
	return list
}

// whyNotRemoved returns why a silent member is not removed, "" if it is. spare is set if the
// number of voters permits to remove one.
func (p *membershipPlan) whyNotRemoved(m raft.Member, spare bool) string {
	successor, replaced := p.successors[m.ID]
	switch {
	case replaced && !p.isGone(m):
		return "its successor had joined before it fell silent; it is removed after " + unannouncedSilence.String()
	case replaced && (m.Learner || spare):
		return ""
	case replaced && !successor.Learner:
		return "no learner has caught up that could take its vote"
	case replaced:
		return "its successor is not promoted: " + p.whyNotPromoted(successor)
	case p.hasFreeSurplus(m.ID):
		return "no member has joined since it fell silent; one that had joined before takes its place after " + unannouncedSilence.String()
	}
	return "no member has joined that could take its place"
}

// hasFreeSurplus reports whether a surplus member other than the one with the id replaces none.
func (p *membershipPlan) hasFreeSurplus(id uint64) bool {
	used := p.replacing()
	return slices.ContainsFunc(p.members, func(m raft.Member) bool { return m.Surplus && m.ID != id && !used[m.ID] })
}

// whyNotPromoted returns why a learner is not promoted though fewer vote than fit, "" if it
// can be.
func (p *membershipPlan) whyNotPromoted(m raft.Member) string {
	_, replaced := p.successors[m.ID]
	switch {
	case m.SilentSinceID != 0:
		return "it is silent"
	case m.Leaving:
		return "it stops"
	case replaced:
		return "another member takes its place"
	case !p.peers[m.ID].CaughtUp:
		return "it has not caught up"
	}
	return ""
}

// noteRefusal remembers since when changes are refused, and why the last one was.
func (r *Replica) noteRefusal(err error) {
	if r.refusal == nil {
		r.refusedSince = r.options.Now()
	}
	r.refusal = err
}

// reportDelays logs the changes that have to wait.
func (r *Replica) reportDelays(p *membershipPlan) {
	now := r.options.Now()
	if now < r.nextDelayReport {
		return
	}
	delays := p.delays()
	var refused error
	if r.refusal != nil && now-r.refusedSince >= refusalNoticeTime {
		refused = r.refusal
	}
	if len(delays) == 0 && refused == nil {
		return
	}
	r.nextDelayReport = now + delayReportInterval
	list := zerolog.Arr()
	for _, d := range delays {
		list.Dict(zerolog.Dict().Uint64("replica", d.member.ID).Str("address", d.member.Address).Stringer("wanted", d.wanted).
			Int64("silence_ms", p.silence[d.member.ID].Milliseconds()).Uint64("successor", p.successors[d.member.ID].ID).
			Str("reason", d.reason))
	}
	r.options.Log.Info().Int("voters", len(p.voters())).Int("target", targetVoters(p.replicas())).Array("waiting", list).
		AnErr("refused", refused).Msg("membership change waits")
}
