package operatorapi

import (
	"fmt"
	"net/http"

	"geraniumwall/transport"
)

// refuseOtherNames refuses requests whose header names another operator than their
// certificate.
func refuseOtherNames(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		claimed := r.Header.Get(HeaderOperator)
		if who, ok := transport.Peer(r); ok && claimed != "" && claimed != who.Name {
			writeProblem(w, &Problem{Status: http.StatusForbidden, Title: "name of another operator", Outcome: "not_run",
				Detail: fmt.Sprintf("the certificate belongs to %q and the header %s names %q; leave out the header",
					who.Name, HeaderOperator, claimed)})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// operatorOf returns the name in the operator's certificate, or in the header where
// the gateway uses no keys.
func operatorOf(r *http.Request) (string, error) {
	if who, ok := transport.Peer(r); ok {
		return who.Name, nil
	}
	claimed := r.Header.Get(HeaderOperator)
	if claimed == "" {
		return "", badInput(HeaderOperator, "name the operator in the header "+HeaderOperator)
	}
	return claimed, nil
}
