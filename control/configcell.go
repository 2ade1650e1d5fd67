package control

import (
	"sync"
	"sync/atomic"

	"geraniumwall/config"
	"geraniumwall/rpc/controlpb"
)

// configView is a configuration in force with a channel that is closed when a
// newer one is.
type configView struct {
	version *controlpb.ConfigVersion
	parsed  *config.Config
	changed chan struct{}
}

// configCell holds the newest applied configuration for readers on other
// goroutines.
type configCell struct {
	current atomic.Pointer[configView]
	mu      sync.Mutex
}

func newConfigCell() *configCell {
	c := &configCell{}
	c.current.Store(&configView{changed: make(chan struct{})})
	return c
}

func (c *configCell) load() *configView { return c.current.Load() }

// set puts a version in force if it is newer. A content that this release can't
// read leaves the checks that need it out.
func (c *configCell) set(v *controlpb.ConfigVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.load()
	if v.GetVersion() <= before.version.GetVersion() {
		return
	}
	next := &configView{version: v, changed: make(chan struct{})}
	if parsed, err := config.Parse(v.GetContent()); err == nil {
		next.parsed = &parsed
	}
	c.current.Store(next)
	close(before.changed)
}
