package replicate

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"geraniumwall/raft"
)

const (
	// silenceNoticeTime is how long a member must have been silent until the log records it.
	silenceNoticeTime = time.Second
	// maxSilentSeconds is the longest silence that the log records. Nothing depends on more.
	maxSilentSeconds = uint64(unannouncedSilence / time.Second)
	// maxAnswerAge is how long ago a member may have answered to count as heard from. It is a
	// few heartbeat intervals.
	maxAnswerAge = 3 * raft.DefaultHeartbeatInterval
	// maxTickGap is the longest time between two ticks after which silence still counts as
	// that of the members, not as a pause of this replica.
	maxTickGap = 500 * time.Millisecond
)

func (r *Replica) proposeChange(c raft.MemberChange, reason string) error {
	_, err := r.node.ChangeMembers(c)
	if r.options.OnChange != nil {
		r.options.OnChange(c.Kind, err)
	}
	if err != nil {
		return fmt.Errorf("change the membership: %w", err)
	}
	r.options.Log.Info().Uint64("replica", c.Member.ID).Str("address", c.Member.Address).Stringer("change", c.Kind).
		Uint64("replaces", c.Replaces).Array("updates", updateArray(c.Updates)).Str("reason", reason).Msg("membership change proposed")
	r.processReady()
	return nil
}

func updateArray(updates []raft.Member) *zerolog.Array {
	list := zerolog.Arr()
	for _, m := range updates {
		list.Dict(zerolog.Dict().Uint64("replica", m.ID).Uint64("silent_since_id", m.SilentSinceID).
			Bool("leaving", m.Leaving).Bool("surplus", m.Surplus))
	}
	return list
}

// sameVoteAndAddress reports whether two members differ in no more than the attributes that
// MemberChange.Updates can change.
func sameVoteAndAddress(a, b raft.Member) bool {
	return a.ID == b.ID && a.Learner == b.Learner && a.Address == b.Address && a.Domain == b.Domain
}

func memberArray(members []raft.Member) *zerolog.Array {
	list := zerolog.Arr()
	for _, m := range members {
		list.Dict(zerolog.Dict().Uint64("replica", m.ID).Str("address", m.Address).Str("domain", m.Domain).Bool("voter", !m.Learner).
			Uint64("silent_since_id", m.SilentSinceID).Bool("leaving", m.Leaving).Bool("surplus", m.Surplus))
	}
	return list
}

// askIfRemoved shows the id of a silent replica that doesn't vote to its peers, which answer a
// removed one. Nothing else would tell it: it asks for no votes, and a leader sends nothing to
// replicas that are not members.
func (r *Replica) askIfRemoved() {
	now := r.options.Now()
	if now-r.heardAt < removalCheckInterval {
		return
	}
	r.heardAt = now
	if r.node.Status().Membership.IsVoter(r.options.ID) {
		return
	}
	var messages []raft.Message
	for _, id := range r.peerIDs() {
		// Without a term the peers do nothing else with it.
		messages = append(messages, raft.Message{Type: raft.MessageHeartbeatResponse, From: r.options.ID, To: id})
	}
	r.options.Transport.Send(messages)
}

// peerIDs returns the ids of the other replicas, by the options until the membership is known.
func (r *Replica) peerIDs() []uint64 {
	var ids []uint64
	for _, m := range r.members {
		ids = append(ids, m.ID)
	}
	if len(r.node.Status().Membership.Members) == 0 {
		ids = slices.AppendSeq(ids, maps.Keys(r.options.Peers))
	}
	return slices.DeleteFunc(ids, func(id uint64) bool { return id == r.options.ID })
}

// Maintain adjusts the membership while this replica leads. Call it periodically. It records
// in the log which members are silent or leave, and makes at most one further change.
func (r *Replica) Maintain() {
	if !r.leading {
		return
	}
	s := r.node.Status()
	if updates := r.observed(s); len(updates) > 0 {
		r.tryChange(raft.MemberChange{Kind: raft.UpdateMembers, Updates: updates}, "members fell silent, answer again or leave")
		return
	}
	if r.countSilence(s) {
		return
	}
	p := newMembershipPlan(s, r.silence)
	if change, reason, found := p.next(); found {
		r.tryChange(change, reason)
	} else {
		r.noteRefusal(nil)
	}
	r.reportDelays(p)
}

// tryChange proposes a change that the next call of Maintain repeats if it is refused.
func (r *Replica) tryChange(c raft.MemberChange, reason string) {
	err := r.proposeChange(c, reason)
	r.noteRefusal(err)
	if err != nil {
		r.options.Log.Debug().Err(err).Str("reason", reason).Msg("membership change refused, will retry")
	}
}

// noteTick finds out whether this replica has been paused, so that it heard nobody.
func (r *Replica) noteTick(now time.Duration) {
	if now-r.tickedAt > maxTickGap {
		r.observedSince = now
	}
	r.tickedAt = now
}

// silence returns how long a peer has been silent while this replica was able to hear it. A
// peer that has not answered in this term counts as silent only once it had time for it.
func (r *Replica) silence(p raft.PeerStatus) time.Duration {
	now := r.options.Now()
	if !p.Answered && now-r.leadingSince < silenceNoticeTime {
		return 0
	}
	return min(p.Silence, now-r.observedSince)
}

// countSilence adds the seconds that silent members have been silent under this leader to the
// log, so that the next leader goes on from there. It reports whether it tried a change. There
// is no log line for it.
func (r *Replica) countSilence(s raft.Status) bool {
	var updates []raft.Member
	for _, p := range s.Peers {
		m, found := s.Membership.Find(p.ID)
		if found && m.SilentSinceID != 0 && m.SilentSeconds < maxSilentSeconds && r.silentSecondPassed(m.ID, r.silence(p)) {
			m.SilentSeconds++
			updates = append(updates, m)
		}
	}
	if len(updates) == 0 {
		return false
	}
	_, err := r.node.ChangeMembers(raft.MemberChange{Kind: raft.UpdateMembers, Updates: updates})
	r.processReady()
	return err == nil
}

// silentSecondPassed reports whether a second of a member's silence has passed that this leader
// has not counted yet.
func (r *Replica) silentSecondPassed(member uint64, silence time.Duration) bool {
	now := r.options.Now()
	if now-max(r.countedAt[member], now-silence) < time.Second {
		return false
	}
	r.countedAt[member] = now
	return true
}

// isHeard reports whether a peer answers at present.
func isHeard(p raft.PeerStatus) bool { return p.Answered && p.Silence < maxAnswerAge }

// observed returns the members whose state in the log differs from what this leader sees.
func (r *Replica) observed(s raft.Status) []raft.Member {
	var updates []raft.Member
	if self, found := s.Membership.Find(s.ID); found && (self.SilentSinceID != 0 || self.Leaving != s.Leaving) {
		self.SilentSinceID, self.SilentSeconds, self.Leaving = 0, 0, s.Leaving
		updates = append(updates, self)
	}
	for _, p := range s.Peers {
		m, found := s.Membership.Find(p.ID)
		if !found {
			continue
		}
		seen := m
		switch silence := r.silence(p); {
		case isHeard(p):
			seen.SilentSinceID, seen.SilentSeconds, seen.Leaving = 0, 0, p.Leaving
		case m.SilentSinceID == 0 && silence >= silenceNoticeTime:
			seen.SilentSinceID = r.highestIDBefore(s, m.ID, silence)
		}
		if seen != m {
			updates = append(updates, seen)
		}
	}
	return updates
}

// silentAt returns the members that have not answered lately, marked as silent since before
// the next id is granted. One that answers after all is unmarked again.
func (r *Replica) silentAt(s raft.Status) []raft.Member {
	var updates []raft.Member
	for _, p := range s.Peers {
		m, found := s.Membership.Find(p.ID)
		if found && m.SilentSinceID == 0 && !isHeard(p) {
			m.SilentSinceID = r.highestIDBefore(s, m.ID, p.Silence)
			updates = append(updates, m)
		}
	}
	return updates
}

// highestIDBefore returns the highest id that had been granted when a member fell silent. Of
// the ids that earlier leaders granted it is not known whether they came later.
func (r *Replica) highestIDBefore(s raft.Status, member uint64, silence time.Duration) uint64 {
	silentSince := r.options.Now() - silence
	id := s.Membership.HighestID
	for ; id > member; id-- {
		if at, known := r.addedAt[id]; !known || at < silentSince {
			break
		}
	}
	return id
}
