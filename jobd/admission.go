package jobd

import (
	"fmt"
	"time"

	"geraniumwall/jobs"
)

// maxUnsettled bounds the submissions that are known to be on their way to the log. Beyond
// it nothing is refused.
const maxUnsettled = 10_000

// unsettledSubmissions are the ids of submissions that this leader has proposed and whose
// commands may still be applied. Their repetitions are never refused.
type unsettledSubmissions map[string]struct{}

// add records a proposed submission.
func (u unsettledSubmissions) add(id string) {
	if len(u) < maxUnsettled {
		u[id] = struct{}{}
	}
}

// settle forgets a submission once its command has been applied. Without a result the
// command may still be in the log.
func (u unsettledSubmissions) settle(id string, applied bool) {
	if applied {
		delete(u, id)
	}
}

// refuse returns the error for a submission that can't end before its result is worthless,
// nil for others. Nothing has been proposed to the log for a refused submission.
func (m *manager) refuse(id string, q *jobs.Queue, spec *jobs.Spec) error {
	if !m.settings.Admission.enabled() {
		return nil
	}
	_, proposed := m.unsettled[id]
	if proposed || len(m.unsettled) >= maxUnsettled || m.store.Job(id) != nil {
		return nil
	}
	m.dispatcher.Advance(m.now(), time.Now().UnixMilli())
	d := m.dispatcher.Admit(q, spec)
	if d.Admitted {
		return nil
	}
	m.metrics.recordRefusal(q.Name)
	if m.refusalLogs.allow(m.now(), &m.log) {
		m.log.Info().Str("job", id).Str("queue", q.Name).Float64("work_ahead_core_s", float64(d.Ahead)/1e6).
			Float64("rate_cores", d.Rate/1e6).Float64("measured_s", d.Measured.Seconds()).Int64("wait_ms", d.Wait.Milliseconds()).
			Int64("late_wait_ms", d.LateWait.Milliseconds()).
			Int64("window_ms", d.Window.Milliseconds()).Int64("retry_after_ms", d.RetryAfter.Milliseconds()).Msg("job refused")
	}
	return &Error{
		Kind: KindOverloaded, RetryAfter: d.RetryAfter,
		Text: fmt.Sprintf("the job could not end before its result is worthless and nothing was run: work ahead of it takes %.1f s; "+
			"submit it again after the time in Retry-After", d.Wait.Seconds()),
	}
}
