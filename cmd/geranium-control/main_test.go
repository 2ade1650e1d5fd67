package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/control"
	"geraniumwall/control/client"
	"geraniumwall/rpc/controlpb"
)

// TestKilledReplicas guards against accepted work that is lost, or a service that
// stays away, when any one replica is killed and restarted.
func TestKilledReplicas(t *testing.T) {
	g := NewWithT(t)
	binary := filepath.Join(cmp.Or(os.Getenv("GERANIUM_BIN"), filepath.Join("..", "..", "bin")), "geranium-control")
	g.Expect(binary).To(BeAnExistingFile(), "run make build first")
	dir := t.TempDir()
	var members []control.ReplicaAddress
	var addresses []string
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		addresses = append(addresses, l.Addr().String())
		members = append(members, control.ReplicaAddress{ID: uint64(i + 1), Address: l.Addr().String(), Domain: fmt.Sprint("d", i)})
		g.Expect(l.Close()).To(Succeed())
	}
	running := make([]*exec.Cmd, 3)
	start := func(i int) {
		path := filepath.Join(dir, fmt.Sprintf("%d.json", i))
		document, err := json.Marshal(control.Settings{
			Name: "c", Domain: members[i].Domain, Listen: addresses[i], DataDir: filepath.Join(dir, fmt.Sprint("data", i)),
			ReplicaID: members[i].ID, Replicas: members,
		})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(os.WriteFile(path, document, 0o600)).To(Succeed())
		running[i] = exec.Command(binary, "-settings", path)
		g.Expect(running[i].Start()).To(Succeed())
	}
	kill := func(i int) {
		_ = running[i].Process.Kill()
		_ = running[i].Wait()
	}
	for i := range 3 {
		start(i)
		defer func() { kill(i) }()
	}
	c := client.New(addresses, http.DefaultClient)
	accepted := map[string]bool{}
	submit := func(key string) {
		ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
		defer cancel()
		answer, err := client.Call(ctx, c, "SubmitTasks", 0, controlpb.Control.SubmitTasks, &controlpb.SubmitTasksRequest{
			Tasks: []*controlpb.TaskSpec{{Caller: "c", IdempotencyKey: key, Job: "cut"}},
		})
		g.Expect(err).NotTo(HaveOccurred())
		accepted[answer.GetResults()[0].GetId()] = true
	}
	submit("first")
	for i := range 3 {
		kill(i)
		submit(fmt.Sprint("without ", i))
		start(i)
		for id := range accepted {
			ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
			got, err := client.Call(ctx, c, "GetTask", 0, controlpb.Control.GetTask, &controlpb.GetTaskRequest{Id: id})
			cancel()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got.GetFound()).To(BeTrue())
		}
	}
	g.Expect(accepted).To(HaveLen(4))
}
