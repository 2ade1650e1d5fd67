package dispatch

import (
	"maps"
	"slices"
	"time"

	"geraniumwall/jobs"
)

const (
	// startRecordInterval is the time between two records of started jobs, so that one command
	// covers many. Callers see the start of a job that much later.
	startRecordInterval = 200 * time.Millisecond
	// maxRecordedStarts bounds the jobs in one command.
	maxRecordedStarts = 1024
)

// firstStarts are the jobs that workers have begun while the log holds them as queued. Only
// the log tells later leaders that a job has started: the binding of a task does not, since
// its worker may never begin it.
type firstStarts struct {
	// known are the jobs to record, proposed those whose record is not committed yet.
	known, proposed map[string]bool
	// recordAt is the earliest time of the next record.
	recordAt time.Duration
}

func newFirstStarts() firstStarts {
	return firstStarts{known: map[string]bool{}, proposed: map[string]bool{}}
}

// noteStart notes that a worker has begun an attempt: it has accepted the start or lists the
// attempt, whether that is the current one or not.
func (d *Dispatcher) noteStart(key jobs.TaskKey, number int) {
	j := d.store.Job(key.Job)
	if j == nil {
		return
	}
	if t := j.Task(key); t != nil && number >= 1 && number <= t.Attempt {
		d.noteJobStart(j)
	}
}

// noteJobStart notes that a worker has begun a task of a job.
func (d *Dispatcher) noteJobStart(j *jobs.Job) {
	if j.AwaitsStart() && !d.firstStarts.proposed[j.ID] {
		d.firstStarts.known[j.ID] = true
	}
}

// recordStarts proposes the record of the jobs that have started, once in
// startRecordInterval.
func (d *Dispatcher) recordStarts() {
	if d.now >= d.firstStarts.recordAt {
		d.proposeStarts()
	}
}

// recordStartBeforeEnd proposes the record of a started job ahead of the end of an attempt:
// once the end is recorded, the worker may forget that the attempt ran.
func (d *Dispatcher) recordStartBeforeEnd(a *attempt) {
	if d.firstStarts.known[a.task.Job] {
		d.proposeStarts()
	}
}

func (d *Dispatcher) proposeStarts() {
	if len(d.firstStarts.known) == 0 {
		return
	}
	d.firstStarts.recordAt = d.now + startRecordInterval
	ids := slices.Sorted(maps.Keys(d.firstStarts.known))
	clear(d.firstStarts.known)
	for chunk := range slices.Chunk(ids, maxRecordedStarts) {
		d.proposeStartsOf(chunk)
	}
}

func (d *Dispatcher) proposeStartsOf(ids []string) {
	for _, id := range ids {
		d.firstStarts.proposed[id] = true
	}
	command := jobs.Command{RecordStarts: &jobs.RecordStarts{Jobs: ids, At: d.unixMS}}
	d.propose(command, func(_ jobs.Result, ok bool) {
		for _, id := range ids {
			delete(d.firstStarts.proposed, id)
			if j := d.store.Job(id); !ok && j != nil && j.AwaitsStart() {
				d.firstStarts.known[id] = true
			}
		}
	})
}
