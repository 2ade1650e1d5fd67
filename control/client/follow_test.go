package client

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"geraniumwall/config"
	"geraniumwall/rpc/controlpb"
)

// versioned is a replica that has applied one version.
type versioned struct {
	controlpb.Control
	version atomic.Uint64
	delay   time.Duration
}

func at(version uint64, delay time.Duration) *versioned {
	v := &versioned{delay: delay}
	v.version.Store(version)
	return v
}

func document(t *testing.T) []byte {
	content, err := config.Marshal(config.Config{Deployment: "test", Domains: []string{"a"}})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return content
}

func (v *versioned) GetConfig(ctx context.Context, q *controlpb.GetConfigRequest) (*controlpb.GetConfigResponse, error) {
	time.Sleep(v.delay)
	version := v.version.Load()
	if q.GetKnownVersion() >= version {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	content, err := config.Marshal(config.Config{Deployment: "test", Domains: []string{"a"}})
	return &controlpb.GetConfigResponse{Config: &controlpb.ConfigVersion{Version: version, Content: content}}, err
}

// follow returns the versions in the order in which they came in force.
func follow(t *testing.T, replicas []string, sources ...Source) (*Follower, <-chan uint64) {
	f := NewFollower(New(replicas, &http.Client{}), Identity{Process: "p"}, sources...)
	seen := make(chan uint64, 10)
	f.OnChange(func(s *Snapshot) { seen <- s.Version })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return f, seen
}

// TestStaleReplica guards against a restart that goes back to an older version
// because a stale replica answers first.
func TestStaleReplica(t *testing.T) {
	g := NewWithT(t)
	stale := serveControl(t, at(3, 0))
	current := serveControl(t, at(7, 200*time.Millisecond))
	_, seen := follow(t, []string{current, stale, "127.0.0.1:1"})
	var first uint64
	g.Eventually(seen).WithTimeout(5 * time.Second).Should(Receive(&first))
	g.Expect(first).To(BeEquivalentTo(7))
}

// TestCutOffStart guards against a restarted process without configuration in a
// domain that reaches no replica, and against one that stays behind its domain.
func TestCutOffStart(t *testing.T) {
	g := NewWithT(t)
	version := uint64(5)
	content := document(t)
	source := func(_ context.Context, known uint64) (*controlpb.ConfigVersion, error) {
		if known >= version {
			return nil, nil
		}
		return &controlpb.ConfigVersion{Version: version, Content: content}, nil
	}
	failing := func(context.Context, uint64) (*controlpb.ConfigVersion, error) { return nil, errors.New("away") }
	stale := serveControl(t, at(2, 0))
	for _, replicas := range [][]string{{"127.0.0.1:1"}, {stale}} {
		f, seen := follow(t, replicas, failing, source)
		g.Eventually(seen).WithTimeout(5 * time.Second).Should(Receive(BeEquivalentTo(5)))
		g.Expect(f.Current().Content).To(Equal(content))
	}
}

// TestNotice guards against a process that asks one replica only, a stale one,
// after it heard of a newer version.
func TestNotice(t *testing.T) {
	g := NewWithT(t)
	old, current := at(3, 0), at(3, 0)
	f, seen := follow(t, []string{serveControl(t, old), serveControl(t, current)})
	g.Eventually(seen).WithTimeout(5 * time.Second).Should(Receive(BeEquivalentTo(3)))
	time.Sleep(100 * time.Millisecond)
	current.version.Store(4)
	f.Notice(4)
	g.Eventually(seen).WithTimeout(2 * time.Second).Should(Receive(BeEquivalentTo(4)))
}
