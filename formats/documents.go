package formats

import (
	"time"

	"geraniumwall/config"
	"geraniumwall/control"
	"geraniumwall/fakeworker"
	"geraniumwall/schedulerd"
	"geraniumwall/workerapi"
	"geraniumwall/workerapi/delta"
)

// Names of the settings files; the gateway's is read by the test of its command.
const (
	ControlSettingsFile   = "settings-control-replicas.json"
	SchedulerSettingsFile = "settings-scheduler.json"
	GatewaySettingsFile   = "settings-gateway.json"
	WorkerSettingsFile    = "settings-worker.json"
	// SingleReplicaSettingsFile has one replica without the setting state_may_be_lost,
	// which v1 accepted and later versions refuse.
	SingleReplicaSettingsFile = "settings-control.json"
)

func sampleConfiguration() []byte {
	d := config.New("lichtdach", "bern-a", "thun-b")
	team := d.Team("planning", config.Team{
		Weight: 2, MayBorrow: true, Quota: config.Resources{CPUMillis: 8000, MemoryMB: 4096, Accelerators: 1},
	})
	size := config.Resources{CPUMillis: 1000, MemoryMB: 512}
	service := d.Service("quote-check", team, config.Service{PerSlot: size, Idempotent: true, TargetP99MS: 40})
	job := d.Job("cutting-plan", team, config.Job{Priority: config.Normal, Size: size, ExpectedMS: 1000, Checkpoints: true})
	d.KeepApart(service, job)
	d.Policy(config.Policy{SlowdownLimit: 1.2})
	document, err := config.Marshal(d.Config())
	if err != nil {
		panic(err) // the sample is fixed
	}
	return document
}

func writeConfiguration(dir string) error {
	return writeFile(dir, ConfigurationFile, sampleConfiguration())
}

func writeSettings(dir string) error {
	controls := []string{"192.0.2.1:7100"}
	for name, value := range map[string]any{
		ControlSettingsFile: control.Settings{
			Name: "control-1", Domain: "bern-a", Listen: controls[0], MetricsListen: "192.0.2.1:7101",
			OTLPEndpoint: "http://192.0.2.9:4318/v1/metrics", DataDir: "data", ReplicaID: 1, SingleDomainOK: true,
			Replicas: []control.ReplicaAddress{
				{ID: 1, Address: controls[0], Domain: "bern-a"}, {ID: 2, Address: "192.0.2.2:7100", Domain: "thun-b"},
				{ID: 3, Address: "192.0.2.3:7100", Domain: "biel-c"},
			},
		},
		SchedulerSettingsFile: schedulerd.Settings{
			Name: "scheduler-1", Domain: "bern-a", Listen: "192.0.2.1:7200", MetricsListen: "192.0.2.1:7201",
			Control: controls, Peer: &schedulerd.Peer{Name: "scheduler-2", Address: "192.0.2.2:7200"},
		},
		GatewaySettingsFile: map[string]any{
			"name": "gateway-1", "domain": "bern-a", "listen": "192.0.2.1:7000", "metrics_listen": "192.0.2.1:7001",
			"otlp_endpoint": "", "control": controls, "drain_ms": 1500, "schedulers": []map[string]string{
				{"name": "scheduler-1", "domain": "bern-a", "address": "192.0.2.1:7200"},
			},
		},
		WorkerSettingsFile: fakeworker.Settings{
			Name: "worker-1", Domain: "bern-a", Rack: "rack-1", Listen: "192.0.2.1:7300", Schedulers: []string{"192.0.2.1:7200"},
			Capacity: workerapi.Resources{CPUMillis: 32_000, MemoryMB: 125_000, Accelerators: 1}, Slots: 8, Connections: 64,
			Services: []string{"quote-check"}, RecordFile: "record", ReportLagMS: 2000,
		},
	} {
		if err := writeJSON(dir, name, value); err != nil {
			return err
		}
	}
	return nil
}

// Heartbeats are two heartbeats of a worker as sent, the second shortened, what a
// scheduler restores from it, and the answer.
type Heartbeats struct {
	Whole    *workerapi.Heartbeat
	Short    *workerapi.Heartbeat
	Restored *workerapi.Heartbeat
	Answer   workerapi.HeartbeatAnswer
}

func writeHeartbeats(dir string) error {
	first := sampleHeartbeat(1, "t1", "t2")
	second := sampleHeartbeat(2, "t2", "t3")
	second.SlotsInUse = map[uint64]int{4: 3}
	sender := delta.NewSender()
	sender.Shorten(0, first)
	answer := workerapi.HeartbeatAnswer{
		Scheduler: "scheduler-1", RenewAll: true, TaskLeaseMS: 10_000, Version: 7,
		Acknowledge: []workerapi.TaskRef{{ID: "t1", Attempt: workerapi.Attempt{Epoch: 2, Number: 5}}},
	}
	sender.Answered(first.Sequence, &answer)
	return writeJSON(dir, HeartbeatsFile, Heartbeats{Whole: first, Short: sender.Shorten(time.Second, second), Restored: second, Answer: answer})
}

func sampleHeartbeat(sequence uint64, tasks ...string) *workerapi.Heartbeat {
	used := workerapi.Resources{CPUMillis: 900, MemoryMB: 256}
	hb := &workerapi.Heartbeat{
		Worker: "worker-1", Incarnation: "a1", Sequence: sequence, Domain: "bern-a", Rack: "rack-1", Address: "192.0.2.1:7300",
		Capacity: workerapi.Resources{CPUMillis: 32_000, MemoryMB: 125_000, Accelerators: 1}, Slots: 8, Connections: 64,
		Services: []string{"quote-check"}, Session: 4, Holder: "scheduler-1", Epoch: 2, SlotsInUse: map[uint64]int{3: 1, 4: 2},
		Reports: []workerapi.ServiceReport{{Service: "quote-check", AgeMS: 2100, Load: 0.5, P50US: 900, P99US: 4000, Count: 120}},
		Used:    used, BootUnixMS: 1_790_000_000_000,
	}
	for _, id := range tasks {
		hb.Tasks = append(hb.Tasks, workerapi.TaskReport{
			ID: id, Attempt: workerapi.Attempt{Epoch: 2, Number: 5}, Phase: workerapi.PhaseRunning, Job: "cutting-plan",
			Resources: workerapi.Resources{CPUMillis: 1000, MemoryMB: 512}, Used: used, Progress: 0.25,
			Checkpoint: []byte("half"), Throttle: 0.5, SinceCheckpointMS: 300,
		})
	}
	return hb
}
