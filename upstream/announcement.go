package upstream

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	KindInvalid  Kind = "invalid announcement"
	KindConflict Kind = "another upstream is already announced"
)

// Error is the error type of this package.
type Error struct {
	op      string
	kind    Kind
	message string
}

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %s", e.op, e.kind, e.message) }

// The states that a backend server announces.
const (
	StateReady    = "ready"
	StateDraining = "draining"
	StateLeaving  = "leaving"
)

// AnnouncementPath is the HTTP path to which a backend server PUTs its
// Announcement.
const AnnouncementPath = "/v1/announcement"

// AnnouncementLifetime is how long an announcement is valid without renewal.
const AnnouncementLifetime = 5 * time.Second

const maxAnnouncementBytes = 16 << 10

// Announcement is the JSON document with which a backend server registers at
// its node.
type Announcement struct {
	Upstream    string `json:"upstream"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Instance    string `json:"instance"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	ColdStartMS int64  `json:"cold-start-ms"`
	HealthPath  string `json:"health-path"`
	State       string `json:"state"`
}

// validate checks the fields that need no comparison with the release notes.
func (a *Announcement) validate() error {
	address, err := netip.ParseAddrPort(a.Address)
	switch {
	case a.Upstream == "" || a.Service == "":
		return &Error{op: "announce", kind: KindInvalid, message: "upstream and service must not be empty"}
	case err != nil || address.Port() == 0:
		return &Error{
			op: "announce", kind: KindInvalid,
			message: fmt.Sprintf("address %q is not an IP address and port", a.Address),
		}
	case a.State != StateReady && a.State != StateDraining && a.State != StateLeaving:
		return &Error{
			op: "announce", kind: KindInvalid,
			message: fmt.Sprintf("state %q is not one of ready, draining, leaving", a.State),
		}
	case a.Slots < 0 || a.Connections < 0 || a.ColdStartMS < 0:
		return &Error{op: "announce", kind: KindInvalid, message: "slots, connections and cold start must not be negative"}
	}
	return nil
}

// Announcer processes announcements.
type Announcer interface {
	Announce(announcement Announcement) error
}

// AnnouncementHandler returns the HTTP handler for AnnouncementPath.
func AnnouncementHandler(announcer Announcer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var announcement Announcement
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&announcement); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := announcer.Announce(announcement); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}
