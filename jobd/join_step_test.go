package jobd

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/rpc/controlpb"
	"geraniumwall/rpc/protocol"
	"geraniumwall/transport"
)

// freeAddress returns a loopback address at which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// step sends a Step request that names the address as the sender's.
func step(target, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	stub := controlpb.NewReplicaProtobufClient(transport.URL(target), transport.NewClient(transport.ClientOptions{}), protocol.Client())
	_, err := stub.Step(ctx, &controlpb.StepRequest{From: 1, Address: address})
	return err
}

// startReplica runs a replica until the test ends and returns its peer address.
func startReplica(t *testing.T, dataDir string, seeds ...string) string {
	t.Helper()
	s := &Settings{
		Name: "r", Listen: freeAddress(t), PeerListen: freeAddress(t), Seeds: seeds, DataDir: dataDir,
		HeartbeatMS: 500, LeaseMS: 2000, ShutdownTimeoutMS: 1000,
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	adapter := func(*Server) Handlers {
		return Handlers{Callers: http.NotFoundHandler(), Control: http.NotFoundHandler()}
	}
	go func() {
		ended <- Run(ctx, s, func(*transport.Pool) WorkerClient { return noWorkers{} }, adapter, zerolog.Nop())
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return s.PeerListen
}

// Guards against a replica without data that never joins since all its seeds were replaced.
func TestJoinAsksTheSendersOfSteps(t *testing.T) {
	g := NewWithT(t)
	leader, follower := newFakeMember(t), newFakeMember(t)
	leader.lead(7)
	follower.follow(leader.address())
	address := startReplica(t, t.TempDir(), freeAddress(t), freeAddress(t))
	start := time.Now()
	for _, sender := range []string{"", "x y:1", "10.0.0.1:0", address, follower.address()} {
		g.Eventually(func() error { return step(address, sender) }).WithTimeout(2 * time.Second).Should(MatchError(ContainSubstring("503")))
	}
	g.Eventually(leader.joinCount).WithTimeout(2 * time.Second).WithPolling(time.Millisecond).Should(Equal(1))
	t.Logf("joined in %v", time.Since(start))
}
