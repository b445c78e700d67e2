package ingress

import (
	"net/http"

	"github.com/banyancross/banyancross/call"
	"github.com/banyancross/banyancross/egress"
	"github.com/banyancross/banyancross/organisation"
	"github.com/banyancross/banyancross/platform"
)

// The decisions in this file answer callers whose keys come and go while their
// connections stay open: each request is identified by the configuration in force.

// identify finds the organisation of the caller and removes the caller's key from the
// request, so that it does not leave this node. A nested call belongs to the organisation
// of the run that makes it. It answers the request and returns false if the route is not
// public and the key is unknown.
func (s *session) identify(parent egress.Run, nested bool) bool {
	organisations := s.table.Organisations()
	if organisations.Len() == 0 {
		return true
	}
	platform.RemoveKey(s.request.Header)
	found := false
	switch {
	case s.headers.Key() != "":
		s.organisation, found = organisations.Lookup(s.headers.Key())
	case s.headers.Keyless() && nested:
		s.organisation = organisationOf(parent, organisations)
		found = true
	}
	switch {
	case found || s.route.Public:
		return true
	case s.headers.Keyless() && s.headers.ParentID() != "":
		// The run may be one of an earlier process of this node, or may have just ended.
		s.refuse(call.ReasonNoParent)
	default:
		s.denyKey()
	}
	return false
}

// organisationOf returns the organisation of a run, nil for none. It may have left the
// configuration while the run goes on; then only its name is known.
func organisationOf(run egress.Run, organisations *organisation.Directory) *organisation.Organisation {
	if o, ok := organisations.Named(run.Organisation); ok {
		return o
	}
	o, err := organisation.New(run.Organisation, nil)
	if err != nil {
		return nil
	}
	return o
}

// denyKey answers that the request has not run because its key is unknown.
func (s *session) denyKey() {
	header := http.Header{}
	header.Set("WWW-Authenticate", "Bearer")
	s.answer(http.StatusUnauthorized, call.NotRun, call.ReasonUnknownKey, header)
}

// organisationName returns the name of the caller's organisation, "" for none.
func (s *session) organisationName() string {
	if s.organisation == nil {
		return ""
	}
	return s.organisation.Name()
}

// priority returns the priority of the request: that of its organisation goes before
// that of its route.
func (s *session) priority() int {
	if s.organisation == nil {
		return s.route.Priority
	}
	return s.organisation.Priority(s.route.Priority)
}
