package fakeworker

import (
	"encoding/json"
	"net/http"
	"time"

	"geraniumwall/workerapi"
)

// maxCommandBytes bounds the body of a command.
const maxCommandBytes = 16 << 20

// handle decodes a command, gives it to the machine and encodes its answer.
func handle[Q, R any](w *Worker, f func(now time.Duration, command *Q) R) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		var command Q
		if err := json.NewDecoder(http.MaxBytesReader(out, r.Body, maxCommandBytes)).Decode(&command); err != nil {
			out.Header().Set(workerapi.HeaderOutcome, string(workerapi.OutcomeNotRun))
			http.Error(out, "decode command: "+err.Error(), http.StatusBadRequest)
			return
		}
		out.Header().Set("Content-Type", "application/json")
		w.mu.Lock()
		answer := f(w.now(), &command)
		w.mu.Unlock()
		_ = json.NewEncoder(out).Encode(answer)
	}
}
