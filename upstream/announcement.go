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
	KindInvalid Kind = "invalid announcement"
	KindChanged Kind = "another upstream is announced here"
)

// Error is the error type of this package.
type Error struct {
	op      string
	kind    Kind
	message string
}

// Kind returns the class of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %s", e.op, e.kind, e.message) }

// The states a backend server announces.
const (
	StateReady    = "ready"
	StateDraining = "draining"
	StateLeaving  = "leaving"
)

// AnnouncementPath is where a backend server announces itself by PUT.
const AnnouncementPath = "/v1/announcement"

// AnnouncementLifetime is how long an announcement holds without renewal.
const AnnouncementLifetime = 5 * time.Second

const maxAnnouncement = 16 << 10

// Announcement is what a backend server says of itself, as JSON.
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

// validate checks what can be checked without the release notes.
func (a *Announcement) validate() error {
	address, err := netip.ParseAddrPort(a.Address)
	switch {
	case a.Upstream == "" || a.Service == "":
		return &Error{op: "announce", kind: KindInvalid, message: "upstream and service must be named"}
	case err != nil || address.Port() == 0:
		return &Error{
			op: "announce", kind: KindInvalid,
			message: fmt.Sprintf("address %q is not an IP number and port", a.Address),
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

// Announcer takes announcements.
type Announcer interface {
	Announce(announcement Announcement) error
}

// AnnouncementHandler returns the handler of AnnouncementPath.
func AnnouncementHandler(announcer Announcer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var announcement Announcement
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
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
