// Command lichtdach prints the configuration of Lichtdach Montage AG: an order
// service in four failure domains on about 50 workers with 8 slots each.
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
	d := config.New("lichtdach", "bern-a", "thun-b", "biel-c", "olten-d")

	sales := d.Team("sales", config.Team{
		Weight: 4,
		Quota:  config.Resources{CPUMillis: config.Cores(600), MemoryMB: config.GB(1500)},
	})
	planning := d.Team("planning", config.Team{
		Weight:    2,
		Quota:     config.Resources{CPUMillis: config.Cores(800), MemoryMB: config.GB(3000)},
		MayBorrow: true,
	})
	warehouse := d.Team("warehouse", config.Team{
		Weight: 2,
		Quota:  config.Resources{CPUMillis: config.Cores(200), MemoryMB: config.GB(500)},
	})

	// A quote check is answered while the customer is on the phone.
	quotes := d.Service("quote-check", sales, config.Service{
		PerSlot:     config.Resources{CPUMillis: config.Cores(1), MemoryMB: config.GB(2)},
		Idempotent:  true,
		TargetP99MS: 150,
		DeadlineMS:  2 * config.Second,
		MaxQueue:    256,
	})
	// A stock hold that runs twice reserves two frames, so it is not idempotent.
	d.Service("stock-hold", warehouse, config.Service{
		PerSlot:     config.Resources{CPUMillis: 500, MemoryMB: config.GB(1)},
		TargetP99MS: 5 * config.Second,
		DeadlineMS:  30 * config.Second,
		MaxQueue:    64,
	})

	d.Job("cutting-plan", planning, config.Job{
		Priority:    config.Normal,
		Size:        config.Resources{CPUMillis: config.Cores(2), MemoryMB: config.GB(4)},
		ExpectedMS:  2 * config.Minute,
		Checkpoints: true,
	})
	d.Job("rush-plan", planning, config.Job{
		Priority:   config.Urgent,
		Size:       config.Resources{CPUMillis: config.Cores(2), MemoryMB: config.GB(4)},
		ExpectedMS: 20 * config.Second,
	})
	archive := d.Job("archive-render", planning, config.Job{
		Priority:    config.Batch,
		Size:        config.Resources{CPUMillis: config.Cores(4), MemoryMB: config.GB(8)},
		ExpectedMS:  30 * config.Minute,
		Checkpoints: true,
	})
	d.KeepApart(quotes, archive)
	d.Policy(config.Policy{SlowdownLimit: 1.2, EvictionsPerMinute: 30})
	return d
}
