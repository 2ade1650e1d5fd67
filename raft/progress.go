package raft

import "time"

// progress is a leader's view of one other replica.
type progress struct {
	id uint64
	// match is the highest index known to be durable at the peer.
	match uint64
	// next is the next index to send.
	next uint64
	// probing is true until the first acknowledgement: the point from which
	// the logs match is unknown, so one message is sent at a time.
	probing bool
	// paused is true while the answer to a probe is awaited.
	paused  bool
	window  []inflight
	bytes   int
	contact time.Duration
	// contactSince is when the contact began that has had no gap of an election timeout since.
	contactSince time.Duration
	// answered is set from the first message of the peer in this term on.
	answered bool
	// leaving is what the peer's last message said.
	leaving bool
	// round is the newest heartbeat round that the peer has answered.
	round    uint64
	outgoing *outgoingSnapshot
}

// inflight is an append message that hasn't been acknowledged.
type inflight struct {
	last  uint64
	bytes int
}

// full reports whether the window of unacknowledged messages is used up, which
// holds a fast leader back from a slow follower.
func (p *progress) full(config Config) bool {
	return len(p.window) >= config.MaxInflightMessages || p.bytes >= config.MaxInflightBytes
}

func (p *progress) add(last uint64, bytes int) {
	p.window = append(p.window, inflight{last: last, bytes: bytes})
	p.bytes += bytes
}

// acknowledge frees the messages up to the index.
func (p *progress) acknowledge(index uint64) {
	for len(p.window) > 0 && p.window[0].last <= index {
		p.freeFirst()
	}
}

func (p *progress) freeFirst() {
	p.bytes -= p.window[0].bytes
	p.window = p.window[1:]
}

// probe goes back to sending one message at a time from the index.
func (p *progress) probe(next uint64) {
	p.next = max(next, p.match+1)
	p.probing = true
	p.paused = false
	p.window = nil
	p.bytes = 0
	p.outgoing = nil
}

// replicate starts pipelining after the match.
func (p *progress) replicate() {
	p.next = max(p.next, p.match+1)
	p.probing = false
	p.paused = false
}
