package jobs

import (
	"testing"
)

// BenchmarkCommands measures a log entry of 64 bindings and 64 ends.
func BenchmarkCommands(b *testing.B) {
	var batch []Command
	for i := range 64 {
		key := TaskKey{Job: "0123456789abcdef", Step: 1, Index: i}
		batch = append(batch,
			Command{Bind: &Bind{Task: key, Attempt: 1, On: Incarnation{Worker: "i-0123456789abcdef", StartedAtMS: 1_700_000_000_000}, At: 1_700_000_000_000}},
			Command{End: &End{Task: key, Attempt: 1, Outcome: OutcomeDone, At: 1_700_000_000_000}})
	}
	data, err := Encode(batch)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			if _, err := Encode(batch); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			if _, err := Decode(data); err != nil {
				b.Fatal(err)
			}
		}
	})
}
