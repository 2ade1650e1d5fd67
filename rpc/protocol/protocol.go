// Package protocol versions the messages between the processes. A version reads
// the messages of its predecessor and sends none that its predecessor can't read,
// so neighbouring versions run side by side; see docs/design.md 5.1.
package protocol

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strconv"

	"github.com/twitchtv/twirp"

	"geraniumwall/workerapi"
)

// Version is the newest version of the messages that this code reads.
const Version = 1

// Sent is the version of the messages that this code sends. It is raised one
// release after Version.
const Sent = 1

// Header carries the version of a message; a message without it has version 1.
// HTTP/JSON messages carry the version at the start of their path instead.
const Header = "Geranium-Protocol"

// metaOutcome is the meta key of twirp errors that says whether a call had an effect.
const metaOutcome = "outcome"

var versionedPath = regexp.MustCompile(`^/v([0-9]+)/`)

// NewerError is a message of a version that this code doesn't know.
type NewerError struct{ Got string }

// Error names the versions and the remedy.
func (e *NewerError) Error() string {
	return fmt.Sprintf("the message has version %s and this process reads versions up to %d; "+
		"upgrade this process, or run the sender in the version of this process", e.Got, Version)
}

// Check returns a *NewerError for a request of an unknown version.
func Check(r *http.Request) error {
	for _, got := range []string{r.Header.Get(Header), pathVersion(r.URL.Path)} {
		if version, err := strconv.ParseUint(got, 10, 32); got != "" && (err != nil || version > Version) {
			return &NewerError{Got: got}
		}
	}
	return nil
}

func pathVersion(path string) string {
	if found := versionedPath.FindStringSubmatch(path); found != nil {
		return found[1]
	}
	return ""
}

// Handler refuses requests of an unknown version before they have any effect.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := Check(r); err != nil {
			w.Header().Set(workerapi.HeaderOutcome, string(workerapi.OutcomeNotRun))
			refusal := twirp.FailedPrecondition.Error(err.Error()).WithMeta(metaOutcome, string(workerapi.OutcomeNotRun))
			_ = twirp.WriteError(w, refusal)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Client makes a twirp client send the version with each message.
func Client() twirp.ClientOption {
	sent := strconv.Itoa(Sent)
	return twirp.WithClientHooks(&twirp.ClientHooks{
		RequestPrepared: func(ctx context.Context, r *http.Request) (context.Context, error) {
			r.Header.Set(Header, sent)
			return ctx, nil
		},
	})
}
