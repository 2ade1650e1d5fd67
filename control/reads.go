package control

import (
	"time"

	"geraniumwall/raft"
)

// renewalDelay is the time for which lease renewals are collected, so that the
// renewals of many domains share a heartbeat round.
const renewalDelay = 20 * time.Millisecond

func (r *replica) startRead(run func(*replica, error)) {
	r.nextRead++
	if err := r.node.Read(r.nextRead); err != nil {
		run(r, err)
		return
	}
	r.reads[r.nextRead] = run
}

// confirmReads takes in reads that a heartbeat round has confirmed or failed.
func (r *replica) confirmReads(results []raft.ReadResult) {
	for _, result := range results {
		run := r.reads[result.ID]
		delete(r.reads, result.ID)
		if result.Err != nil {
			run(r, result.Err)
			continue
		}
		r.applying = append(r.applying, waitingRead{result.Index, run})
	}
}

// runReads runs the confirmed reads whose entry has been applied.
func (r *replica) runReads() {
	ready := r.applying
	r.applying = nil
	for _, w := range ready {
		if w.index > r.machine.Index() {
			r.applying = append(r.applying, w)
			continue
		}
		w.run(r, nil)
	}
}

func (r *replica) queueRenewal(run func(*replica, error)) {
	if len(r.renewals) == 0 {
		time.AfterFunc(renewalDelay, func() { r.self(&flushRenewals{}) })
	}
	r.renewals = append(r.renewals, run)
}

// flush answers the collected renewals by one read.
func (r *replica) flush() {
	batch := r.renewals
	r.renewals = nil
	r.startRead(func(r *replica, err error) {
		for _, run := range batch {
			run(r, err)
		}
	})
}
