package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"geraniumwall/entry"
	"geraniumwall/relay"
	"geraniumwall/transport"
)

const (
	drainSeed       = 1
	drainClients    = 60
	runBeforeStop   = time.Second
	slowestResponse = 900 * time.Millisecond
	stopWithin      = 6 * time.Second
)

// startLeader starts a stand-in for the leader that responds to callers after up to
// slowestResponse, and returns its address.
func startLeader() string {
	server := httptest.NewUnstartedServer(nil)
	address := server.Listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc(relay.PathLeader, func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(relay.ClusterView{Leader: address, Members: []string{address}, IsLeader: true})
	})
	mux.HandleFunc("/v1/callers/", func(http.ResponseWriter, *http.Request) {
		time.Sleep(rand.N(slowestResponse))
	})
	server.Config = transport.NewServer(mux)
	server.Start()
	DeferCleanup(server.Close)
	return address
}

// startEntry starts an entry process and returns its address, the function that stops
// it, and its end.
func startEntry(leader string) (address string, stop context.CancelFunc, ended <-chan error) {
	settings := &entry.Settings{
		Name: "e", Domain: "a", Listen: "127.0.0.1:0", ReadyListen: "127.0.0.1:0", PeerListen: leader,
		Seeds: []string{leader}, ShutdownTimeoutMS: stopWithin.Milliseconds(),
	}
	deadline := func(_ *http.Request, fallback time.Duration) time.Duration { return fallback }
	lines, out := io.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- entry.Run(ctx, settings, nil, deadline, zerolog.New(out)) }()
	var started struct{ Address string }
	Expect(json.NewDecoder(lines).Decode(&started)).To(Succeed())
	go io.Copy(io.Discard, lines)
	DeferCleanup(cancel)
	return started.Address, cancel, done
}

var _ = Describe("an entry process that is stopped", func() {
	It("answers or refuses every request that it has read whole", func() {
		address, stop, ended := startEntry(startLeader())
		var o outcomes
		clients := startClients(drainClients, address, drainSeed, &o)
		time.Sleep(runBeforeStop)
		stop()
		stoppedAt := time.Now()
		Eventually(ended).WithTimeout(stopWithin).Should(Receive(Succeed()))
		took := time.Since(stoppedAt)
		clients.Wait()
		AddReportEntry("drain", fmt.Sprintf("took %v: %d answered, refused: %q, lost: %q", took, o.answered, o.refused, o.lost))
		Expect(o.lost).To(BeEmpty())
		Expect(o.answered).To(BeNumerically(">", drainClients))
		_, err := net.Dial("tcp", address)
		Expect(err).To(HaveOccurred())
	})
})
