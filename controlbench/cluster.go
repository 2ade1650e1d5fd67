package controlbench

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"geraniumwall/control"
	"geraniumwall/control/client"
	"geraniumwall/load"
	"geraniumwall/rpc/controlpb"
	"geraniumwall/transport"
)

const (
	replicas  = 3
	startWait = 20 * time.Second
	poll      = 2 * time.Millisecond
	// clockTick is the unit of processor time in the kernel's process table.
	clockTick = 10 * time.Millisecond
)

// cluster is three replica processes.
type cluster struct {
	processes Processes
	out       io.Writer
	running   [replicas]bool
	settings  []string
	address   []string
	metrics   []string
	client    *client.Client
	http      *http.Client
}

// startCluster starts the replicas on free ports and waits for a leader.
func startCluster(p Processes, dir string, out io.Writer) (*cluster, error) {
	c := &cluster{processes: p, out: out}
	c.http = transport.NewClient(transport.ClientOptions{})
	var members []control.ReplicaAddress
	for i := range replicas {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		metrics, err := freeAddress()
		if err != nil {
			return nil, err
		}
		c.address, c.metrics = append(c.address, address), append(c.metrics, metrics)
		members = append(members, control.ReplicaAddress{ID: uint64(i + 1), Address: address, Domain: fmt.Sprintf("d%d", i)})
	}
	for i := range replicas {
		path := filepath.Join(dir, fmt.Sprintf("control-%d.json", i+1))
		document, err := json.Marshal(control.Settings{
			Name: fmt.Sprintf("control-%d", i+1), Domain: members[i].Domain, Listen: c.address[i],
			MetricsListen: c.metrics[i], DataDir: filepath.Join(dir, fmt.Sprintf("data-%d", i+1)),
			ReplicaID: uint64(i + 1), Replicas: members,
		})
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(path, document, 0o600); err != nil {
			return nil, err
		}
		c.settings = append(c.settings, path)
		if err := c.start(i); err != nil {
			return nil, err
		}
	}
	c.client = client.New(c.address, c.http)
	_, err := c.waitLeader()
	return c, err
}

func freeAddress() (string, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

func (c *cluster) start(i int) error {
	c.running[i] = true
	return c.processes.Start(i, c.settings[i])
}

func (c *cluster) kill(i int) error {
	c.running[i] = false
	return c.processes.Kill(i)
}

func (c *cluster) stop() {
	for i, running := range c.running {
		if running {
			_ = c.kill(i)
		}
	}
}

func (c *cluster) status(i int) (*controlpb.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	stub := controlpb.NewControlProtobufClient(transport.URL(c.address[i]), c.http)
	return stub.Status(ctx, &controlpb.StatusRequest{})
}

// waitLeader returns the index of the replica that leads.
func (c *cluster) waitLeader() (int, error) {
	for begin := time.Now(); time.Since(begin) < startWait; time.Sleep(poll) {
		for i := range replicas {
			if s, err := c.status(i); err == nil && s.GetLeader() == s.GetReplica() && s.GetLeader() != 0 {
				return i, nil
			}
		}
	}
	return 0, fmt.Errorf("no leader within %v; look at the logs of the replicas", startWait)
}

// usage is what the replicas have used so far.
type usage struct {
	processor [replicas]time.Duration
	memoryMB  [replicas]int64
	bytes     float64
}

func (c *cluster) usage() (usage, error) {
	var u usage
	for i := range replicas {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.processes.PID(i)))
		if err != nil {
			return u, err
		}
		fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
		user, _ := strconv.ParseInt(fields[11], 10, 64)
		system, _ := strconv.ParseInt(fields[12], 10, 64)
		pages, _ := strconv.ParseInt(fields[21], 10, 64)
		u.processor[i] = time.Duration(user+system) * clockTick
		u.memoryMB[i] = pages * int64(os.Getpagesize()) >> 20
		bytes, err := c.peerBytes(i)
		if err != nil {
			return u, err
		}
		u.bytes += bytes
	}
	return u, nil
}

// peerBytes reads the traffic that a replica has counted.
func (c *cluster) peerBytes(i int) (float64, error) {
	answer, err := c.http.Get("http://" + c.metrics[i] + "/metrics") //nolint:noctx // a local measurement
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		if line := lines.Text(); strings.HasPrefix(line, "control_peer_bytes") {
			return strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
		}
	}
	return 0, lines.Err()
}

// usages are what the replicas used between two measurements.
func usages(name string, before, after usage, took time.Duration) []load.Measurement {
	var list []load.Measurement
	for i := range replicas {
		share := 100 * (after.processor[i] - before.processor[i]).Seconds() / took.Seconds()
		replica := fmt.Sprintf("control_%s_replica_%d_", name, i+1)
		list = append(list,
			load.Measurement{Name: replica + "processor", Value: share, Unit: "% of a core", N: 1},
			load.Measurement{Name: replica + "memory", Value: float64(after.memoryMB[i]), Unit: "MB", N: 1})
	}
	sent := (after.bytes - before.bytes) / replicas / 1000 / took.Seconds()
	return append(list, load.Measurement{Name: "control_" + name + "_sent_per_replica", Value: sent, Unit: "KB/s", N: replicas})
}

// print writes figures as JSON lines.
func (c *cluster) print(list ...load.Measurement) error {
	return load.WriteMeasurements(c.out, list...)
}
