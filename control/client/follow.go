package client

import (
	"context"
	"errors"
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
	// gatherWithin bounds the wait for replicas and sources that do not answer.
	gatherWithin = time.Second
)

// errBehind ends a wait after a notice.
var errBehind = errors.New("another process has a newer configuration")

// Snapshot is a configuration in force with its version.
type Snapshot struct {
	Version uint64
	Config  config.Config
	// Content is the document as it was accepted.
	Content []byte
}

// Source asks another process of the domain for its configuration, if that is
// newer than the known version.
type Source func(ctx context.Context, known uint64) (*controlpb.ConfigVersion, error)

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
	sources  []Source
	current  atomic.Pointer[Snapshot]
	behind   chan struct{}
	mu       sync.Mutex
	onChange []func(*Snapshot)
}

// NewFollower returns a follower that has no configuration until Run.
func NewFollower(c *Client, identity Identity, sources ...Source) *Follower {
	f := &Follower{client: c, identity: identity, sources: sources, behind: make(chan struct{}, 1)}
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

// Run follows the configuration until ctx is over. It begins with the highest
// version that any replica or source has, since a single replica may be stale, and
// does so again after a notice or a failure.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		reached := f.gather(ctx)
		var err error
		for reached && err == nil {
			err = f.poll(ctx)
		}
		if !errors.Is(err, errBehind) {
			pause(ctx, followPause)
		}
	}
}

// gather asks every replica and source at once. The first configuration is put in
// force when all have answered or the time is over. It reports whether a replica
// answered.
func (f *Follower) gather(ctx context.Context) (reached bool) {
	bounded, cancel := context.WithTimeout(ctx, gatherWithin)
	defer cancel()
	known := f.Current().Version
	var highest *controlpb.ConfigVersion
	for a := range f.ask(bounded, known) {
		reached = reached || a.replica && a.err == nil
		if a.config.GetVersion() > highest.GetVersion() {
			highest = a.config
		}
		if known > 0 {
			f.adopt(highest)
		}
	}
	f.adopt(highest)
	return reached
}

type gathered struct {
	config  *controlpb.ConfigVersion
	err     error
	replica bool
}

// ask returns the answers in the order of their arrival.
func (f *Follower) ask(ctx context.Context, known uint64) <-chan gathered {
	answers := make(chan gathered)
	var all sync.WaitGroup
	for _, address := range f.client.addresses {
		all.Go(func() {
			answer, err := f.client.stub(address).GetConfig(ctx, f.request(known, 0))
			answers <- gathered{config: answer.GetConfig(), err: err, replica: true}
		})
	}
	for _, source := range f.sources {
		all.Go(func() {
			config, err := source(ctx, known)
			answers <- gathered{config: config, err: err}
		})
	}
	go func() {
		all.Wait()
		close(answers)
	}()
	return answers
}

func (f *Follower) request(known uint64, wait time.Duration) *controlpb.GetConfigRequest {
	return &controlpb.GetConfigRequest{
		KnownVersion: known, WaitMs: wait.Milliseconds(),
		Process: f.identity.Process, Kind: f.identity.Kind, Domain: f.identity.Domain,
	}
}

// adopt ignores a version that this process cannot read: the next one replaces it.
func (f *Follower) adopt(v *controlpb.ConfigVersion) { _ = f.Adopt(v) }

// poll waits for one change on one replica; a notice ends the wait, since that
// replica may be behind the sender of the notice.
func (f *Follower) poll(ctx context.Context) error {
	bounded, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-f.behind:
			cancel(errBehind)
		case <-bounded.Done():
		}
	}()
	answer, err := Any(bounded, f.client, followWait, controlpb.Control.GetConfig,
		f.request(f.Current().Version, followWait))
	if errors.Is(context.Cause(bounded), errBehind) {
		return errBehind
	}
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
	snapshot := &Snapshot{Version: v.GetVersion(), Config: parsed, Content: v.GetContent()}
	f.current.Store(snapshot)
	for _, fn := range f.onChange {
		fn(snapshot)
	}
	return nil
}
