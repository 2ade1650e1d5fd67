package gateway

import (
	"net/http"

	"geraniumwall/rpc/protocol"
)

// Handler returns the HTTP handler of the gateway.
func (g *Gateway) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/call/{service}", g.serveCall)
	mux.HandleFunc("POST /v1/tasks", g.serveSubmit)
	mux.HandleFunc("POST /v1/tasks:batch", g.serveBatch)
	mux.HandleFunc("GET /v1/tasks/{id}", g.serveTask)
	mux.HandleFunc("DELETE /v1/tasks/{id}", g.serveCancel)
	mux.HandleFunc("GET /v1/tasks/{id}/result", g.serveResult)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", g.serveReady)
	mux.HandleFunc("/", serveUnknownPath)
	if g.options.Operator != nil {
		mux.Handle("/v1/operator/", g.options.Operator)
	}
	return mux
}

// serveReady reports 503 while the gateway has no configuration or is draining.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.draining.Load() {
		notRun(http.StatusServiceUnavailable, typeNotReady, "The gateway is shutting down",
			"use another gateway").write(w)
		return
	}
	if g.settings.Load().version == 0 {
		g.unknownService(g.settings.Load()).write(w)
		return
	}
	w.Write([]byte("ready\n"))
}

func serveUnknownPath(w http.ResponseWriter, r *http.Request) {
	if err := protocol.Check(r); err != nil {
		notRun(http.StatusNotFound, typeNotFound, "The version of the interface is not served", err.Error()).write(w)
		return
	}
	notRun(http.StatusNotFound, typeNotFound, "The path or method is not served",
		"use POST /v1/call/{service}, POST /v1/tasks or GET /v1/tasks/{id}").write(w)
}
