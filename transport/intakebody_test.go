package transport

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// Guards against a deadlock between a body that is given up, whose log line needs the list of
// bodies, and the search for stalled bodies in that list: no request of the port would be
// answered any more.
func TestGivingUpBodiesBesideASearchForStalledOnes(t *testing.T) {
	in := NewIntake(IntakeSettings{}, 0, zerolog.Nop())
	p := in.Port(PortOptions{Purpose: "test", Share: smallShare})
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for range 2000 {
			in.mu.Lock()
			in.nextLogAt = time.Time{}
			in.mu.Unlock()
			p.mu.Lock()
			p.searchedAt = 0
			p.mu.Unlock()
			a := &account{port: p, room: p.main, address: "192.0.2.1:1", control: http.NewResponseController(httptest.NewRecorder())}
			a.lastAt.Store(int64(sinceStart() - 2*stallTime))
			p.begin(a)
			var both sync.WaitGroup
			both.Go(func() { a.giveUp(reasonLate) })
			both.Go(func() { p.abortStalled(1) })
			both.Wait()
			a.end()
		}
	}()
	select {
	case <-finished:
	case <-time.After(time.Minute):
		t.Fatal("giving up a body and the search for stalled ones wait for each other")
	}
}
