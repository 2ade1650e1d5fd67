package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/control"
	"geraniumwall/control/client"
	"geraniumwall/rpc/controlpb"
)

// Guards against the loss of the last metrics of a process that ends between two
// pushes: the stand-in receiver must get one after SIGTERM.
func TestMetricsArePushedAtExit(t *testing.T) {
	g := NewWithT(t)
	pushes := make(chan string, 10)
	receiver := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		pushes <- string(body)
	}))
	defer receiver.Close()
	dir := t.TempDir()
	path := filepath.Join(dir, "settings.json")
	document, err := json.Marshal(control.Settings{
		Name: "c", Domain: "d", Listen: "127.0.0.1:0", DataDir: filepath.Join(dir, "data"), ReplicaID: 1, SingleDomainOK: true, StateMayBeLost: true,
		Replicas: []control.ReplicaAddress{{ID: 1, Address: "127.0.0.1:1", Domain: "d"}}, OTLPEndpoint: receiver.URL + "/v1/metrics",
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(path, document, 0o600)).To(Succeed())
	replica := exec.Command(filepath.Join(cmp.Or(os.Getenv("GERANIUM_BIN"), filepath.Join("..", "..", "bin")), "geranium-control"), "-settings", path)
	log, err := replica.StderrPipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(replica.Start()).To(Succeed())
	for lines := bufio.NewScanner(log); lines.Scan(); {
		if strings.Contains(lines.Text(), "control replica is running") {
			break
		}
	}
	g.Expect(replica.Process.Signal(syscall.SIGTERM)).To(Succeed())
	go io.Copy(io.Discard, log)
	g.Expect(replica.Wait()).To(Succeed())
	g.Expect(pushes).To(Receive(ContainSubstring("control.term")))
}

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
