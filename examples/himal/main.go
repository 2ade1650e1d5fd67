// Command himal prints the configuration of Himal Tagworks Pvt. Ltd.: an engraving
// service in three failure domains on about 65 workers with 8 slots each.
package main

import (
	"fmt"
	"os"

	"geraniumwall/config"
)

func main() {
	if err := config.Print(os.Stdout, deployment().Config()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func deployment() *config.Deployment {
	d := config.New("himal", "thamel", "patan", "bhaktapur")

	shops := d.Team("shops", config.Team{
		Weight: 3,
		Quota:  config.Resources{CPUMillis: config.Cores(500), MemoryMB: config.GB(1500)},
	})
	clinics := d.Team("clinics", config.Team{
		Weight:    3,
		Quota:     config.Resources{CPUMillis: config.Cores(900), MemoryMB: config.GB(3500)},
		MayBorrow: true,
	})
	lasers := d.Team("lasers", config.Team{
		Weight:    2,
		Quota:     config.Resources{CPUMillis: config.Cores(600), MemoryMB: config.GB(2500)},
		MayBorrow: true,
	})

	// A proof is shown while the owner waits at the counter.
	d.Service("proof", shops, config.Service{
		PerSlot:     config.Resources{CPUMillis: config.Cores(1), MemoryMB: config.GB(2)},
		Idempotent:  true,
		TargetP99MS: 300,
		DeadlineMS:  3 * config.Second,
	})
	// An engraving that runs twice burns two tags, so it is not idempotent.
	d.Service("engrave", shops, config.Service{
		PerSlot:     config.Resources{CPUMillis: 500, MemoryMB: config.GB(1)},
		TargetP99MS: 10 * config.Second,
		DeadlineMS:  60 * config.Second,
		MaxQueue:    64,
	})

	d.Job("clinic-run", clinics, config.Job{
		Priority:    config.Normal,
		Size:        config.Resources{CPUMillis: config.Cores(2), MemoryMB: config.GB(4)},
		ExpectedMS:  10 * config.Minute,
		Checkpoints: true,
	})
	d.Job("laser-queue", lasers, config.Job{
		Priority:    config.Batch,
		Size:        config.Resources{CPUMillis: config.Cores(4), MemoryMB: config.GB(8)},
		ExpectedMS:  6 * config.Hour,
		Checkpoints: true,
	})
	// Evictions cost Himal more than a slower proof, hence few of them.
	d.Policy(config.Policy{SlowdownLimit: 1.4, EvictionsPerMinute: 10, MinRunMS: 30 * config.Second})
	return d
}
