package sidecar

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/banyancross/banyancross/ingress"
)

// WherePath is the path on the metrics address that says where a request would go. Its
// query has method, host, path, organisation and service, as in ingress.Query.
const WherePath = "/where"

// WhereError is the body of an answer to WherePath with another status than 200.
type WhereError struct {
	Error string `json:"error"`
}

// handleWhere answers where a request would go now, without sending it.
func (s *Sidecar) handleWhere(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	placement, err := s.ingress.Where(ingress.Query{
		Method: query.Get("method"), Host: query.Get("host"), Path: query.Get("path"),
		Organisation: query.Get("organisation"), Service: query.Get("service"),
	})
	w.Header().Set("Content-Type", "application/json")
	var unknown *ingress.Error
	if errors.As(err, &unknown) {
		status := http.StatusNotFound
		if unknown.Kind() == ingress.KindNoConfiguration {
			status = http.StatusServiceUnavailable
		}
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(WhereError{Error: unknown.Error()})
		return
	}
	_ = json.NewEncoder(w).Encode(placement)
}
