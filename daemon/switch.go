package daemon

import (
	"net/http"
	"sync/atomic"
)

// SwitchHandler serves by a handler that can be exchanged. Set one before it serves.
type SwitchHandler struct{ current atomic.Pointer[http.Handler] }

// Set exchanges the handler.
func (h *SwitchHandler) Set(next http.Handler) { h.current.Store(&next) }

// ServeHTTP implements http.Handler.
func (h *SwitchHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	(*h.current.Load()).ServeHTTP(w, r)
}
