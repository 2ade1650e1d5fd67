package jobd

import (
	"context"
	"errors"
	"net/http"

	"geraniumwall/jobd/evacuationapi"
)

// evacuationHandler serves the internal API for evacuations. Replicas that do not lead answer
// with the address of the leader.
func (s *Server) evacuationHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+evacuationapi.Path, func(w http.ResponseWriter, r *http.Request) {
		shown, err := s.evacuations(r.Context())
		if err != nil {
			writeOperatorError(w, err)
			return
		}
		s.writeJSON(w, shown)
	})
	mux.HandleFunc("PUT "+evacuationapi.Path+"/{domain}", s.evacuationOrder(s.Evacuate, true))
	mux.HandleFunc("DELETE "+evacuationapi.Path+"/{domain}", s.evacuationOrder(s.EndEvacuation, false))
	served := s.requireLeader(mux)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.settings.EvacuationApplyMS == 0 {
			writeOperatorError(w, errNoEvacuations)
			return
		}
		served.ServeHTTP(w, r)
	})
}

func (s *Server) evacuationOrder(order func(ctx context.Context, domain, operator string) error, evacuated bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		domain, operator := r.PathValue("domain"), r.Header.Get(evacuationapi.HeaderOperator)
		if len(operator) > maxOperatorBytes {
			writeOperatorError(w, invalidError("the name of the operator has over %d bytes; use a shorter one", maxOperatorBytes))
			return
		}
		if err := order(r.Context(), domain, operator); err != nil {
			writeOperatorError(w, err)
			return
		}
		s.writeJSON(w, evacuationapi.Order{Domain: domain, Evacuated: evacuated})
	}
}

// evacuations returns what is in force and the audit records. The read is linearizable.
func (s *Server) evacuations(ctx context.Context) (evacuationapi.Evacuations, error) {
	return callManager(ctx, s, func(m *manager, done func(evacuationapi.Evacuations, error)) {
		if err := m.checkLeader(); err != nil {
			done(evacuationapi.Evacuations{}, err)
			return
		}
		m.replica.Read(func(err error) {
			if err != nil {
				done(evacuationapi.Evacuations{}, errNotLeader)
				return
			}
			done(m.shownEvacuations(), nil)
		})
	})
}

func (m *manager) shownEvacuations() evacuationapi.Evacuations {
	shown := evacuationapi.Evacuations{Replica: m.settings.Name, InForce: []evacuationapi.Evacuation{}, Records: []evacuationapi.Record{}}
	workers := m.store.WorkersByDomain()
	for _, e := range m.store.Evacuations() {
		shown.InForce = append(shown.InForce, evacuationapi.Evacuation{
			Domain: e.Domain, Operator: e.By, SinceMS: e.Since, Workers: workers[e.Domain],
		})
	}
	for _, r := range m.store.EvacuationRecords() {
		shown.Records = append(shown.Records, evacuationapi.Record{
			Number: r.Number, AtMS: r.Order.At, Domain: r.Order.Domain, Action: string(r.Action), Operator: r.Order.By, Replica: r.Order.Replica,
		})
	}
	return shown
}

// writeOperatorError answers a request of the internal API that has failed.
func writeOperatorError(w http.ResponseWriter, err error) {
	status := http.StatusGatewayTimeout
	var e *Error
	if errors.As(err, &e) {
		e.SetRetryAfter(w.Header())
		switch e.Kind {
		case KindNotRun:
			status = http.StatusServiceUnavailable
		case KindInvalid:
			status = http.StatusBadRequest
		case KindUnknownDomain:
			status = http.StatusUnprocessableEntity
		case KindUnsupported, KindNoQueue, KindNoJob:
			status = http.StatusNotFound
		case KindUnresolved:
		}
	}
	http.Error(w, err.Error(), status)
}
