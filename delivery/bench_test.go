package delivery

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"geraniumwall/jobs"
	"geraniumwall/jobs/dispatch"
	"geraniumwall/rpc/deliverypb"
)

// BenchmarkDecodeReply measures how a leader decodes the reply to a hold with 12 attempts.
func BenchmarkDecodeReply(b *testing.B) {
	reply := dispatch.Reply{ClockMS: 5, StartedAtMS: 6}
	for i := range 12 {
		reply.Running = append(reply.Running, dispatch.RunningTask{
			Task: jobs.TaskKey{Job: "0123456789abcdef", Step: 1, Index: i}, Attempt: 1, Checkpoint: "00000bb87a21d94b", Percent: 41, Usage: 500})
	}
	data, err := proto.Marshal(encodeReply(1, &reply))
	if err != nil {
		b.Fatal(err)
	}
	b.Run("unmarshal", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			if err := proto.Unmarshal(data, &deliverypb.Reply{}); err != nil {
				b.Fatal(err)
			}
		}
	})
	p := encodeReply(1, &reply)
	b.Run("convert", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			decodeReply(p)
		}
	})
}

// BenchmarkSenderTick measures a tick while 4,000 orders wait for their reply.
func BenchmarkSenderTick(b *testing.B) {
	now := time.Second
	s := NewSender(SenderOptions{Now: func() time.Duration { return now }, Log: zerolog.Nop()})
	for i := range uint64(4000) {
		s.pending[i] = &pendingOrder{carrier: &carrier{}, delivered: true, deadline: time.Hour}
	}
	b.ReportAllocs()
	for range b.N {
		now += 20 * time.Millisecond
		s.Tick()
	}
}
