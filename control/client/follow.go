package client

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"geraniumwall/config"
	"geraniumwall/rpc/controlpb"
)

const (
	followWait  = 10 * time.Second
	followPause = 200 * time.Millisecond
)

// Snapshot is a configuration in force with its version.
type Snapshot struct {
	Version uint64
	Config  config.Config
}

// Identity names a process towards the control replicas.
type Identity struct {
	Process string
	Kind    string
	Domain  string
}

// Follower keeps the newest configuration. Its version never goes back.
type Follower struct {
	client   *Client
	identity Identity
	current  atomic.Pointer[Snapshot]
	behind   chan struct{}
	mu       sync.Mutex
	onChange []func(*Snapshot)
}

// NewFollower returns a follower that has no configuration until Run.
func NewFollower(c *Client, identity Identity) *Follower {
	f := &Follower{client: c, identity: identity, behind: make(chan struct{}, 1)}
	f.current.Store(&Snapshot{})
	return f
}

// Current returns the configuration in force; version 0 is none.
func (f *Follower) Current() *Snapshot { return f.current.Load() }

// OnChange registers a function that is called with each new configuration.
func (f *Follower) OnChange(fn func(*Snapshot)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onChange = append(f.onChange, fn)
}

// Notice is called with the version on a received message. A higher version than
// the one in force triggers a fetch at once.
func (f *Follower) Notice(version uint64) {
	if version <= f.Current().Version {
		return
	}
	select {
	case f.behind <- struct{}{}:
	default:
	}
}

// Run follows the configuration until ctx is over.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.poll(ctx); err != nil {
			pause(ctx, followPause)
		}
	}
}

// poll waits for one change on one replica; a notice ends the wait, since that
// replica may be behind the sender of the notice.
func (f *Follower) poll(ctx context.Context) error {
	bounded, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-f.behind:
			cancel()
		case <-bounded.Done():
		}
	}()
	answer, err := Any(bounded, f.client, followWait, controlpb.Control.GetConfig, &controlpb.GetConfigRequest{
		KnownVersion: f.Current().Version,
		WaitMs:       followWait.Milliseconds(),
		Process:      f.identity.Process,
		Kind:         f.identity.Kind,
		Domain:       f.identity.Domain,
	})
	if err != nil {
		return err
	}
	return f.Adopt(answer.GetConfig())
}

// Adopt puts a configuration in force if it is newer than the current one.
func (f *Follower) Adopt(v *controlpb.ConfigVersion) error {
	if v == nil || v.GetVersion() <= f.Current().Version {
		return nil
	}
	parsed, err := config.Parse(v.GetContent())
	if err != nil {
		return fmt.Errorf("configuration version %d: %w", v.GetVersion(), err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if v.GetVersion() <= f.Current().Version {
		return nil
	}
	snapshot := &Snapshot{Version: v.GetVersion(), Config: parsed}
	f.current.Store(snapshot)
	for _, fn := range f.onChange {
		fn(snapshot)
	}
	return nil
}
