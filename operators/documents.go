package operators

import (
	"context"
	"fmt"
	"time"

	"github.com/banyancross/banyancross/note"
	"github.com/banyancross/banyancross/totals"
)

// Status is the status of the fleet in one node's view.
type Status struct {
	Host             string           `json:"host"`
	Revision         uint64           `json:"revision"`
	ConfirmedSeconds float64          `json:"confirmed-seconds"`
	Stale            bool             `json:"stale"`
	Services         []ServiceStatus  `json:"services"`
	Upstreams        []UpstreamStatus `json:"upstreams"`
	Nodes            []NodeStatus     `json:"nodes"`
}

// ServiceStatus is the status of a service; Ready counts its ready upstreams.
type ServiceStatus struct {
	Name      string `json:"name"`
	Upstreams int    `json:"upstreams"`
	Ready     int    `json:"ready"`
}

// UpstreamStatus is the status of an upstream. An announced upstream that no
// release note lists has the state unlisted; a listed upstream that is not
// announced has the state absent.
type UpstreamStatus struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	State   string `json:"state"`
	Host    string `json:"host"`
}

// NodeStatus is the status of a node. Revision is 0 if the node did not answer;
// ConfirmedSeconds is the time since the platform last confirmed the revision, or
// -1 if it is unknown.
type NodeStatus struct {
	Host             string  `json:"host"`
	FailureDomain    string  `json:"failure-domain"`
	Status           string  `json:"status"`
	Revision         uint64  `json:"revision"`
	ConfirmedSeconds float64 `json:"confirmed-seconds"`
}

// NoteStatus is an applied release note.
type NoteStatus struct {
	ID       string    `json:"id"`
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
	Action   string    `json:"action"`
	Message  string    `json:"message"`
}

// PublishResult is the revision that a note has and the changes that it makes.
type PublishResult struct {
	Revision uint64   `json:"revision"`
	Changes  []string `json:"changes"`
}

// TotalsDocument holds the totals of a day.
type TotalsDocument struct {
	Day     string      `json:"day"`
	Closed  bool        `json:"closed"`
	Trusted bool        `json:"trusted"`
	Missing []string    `json:"missing"`
	Rows    []TotalsRow `json:"rows"`
}

// TotalsRow holds the totals of a service; totals.Row and totals.SummaryRow
// explain the counts.
type TotalsRow struct {
	Service      string `json:"service"`
	Calls        uint64 `json:"calls"`
	Answered     uint64 `json:"answered"`
	OnTime       uint64 `json:"on-time"`
	Late         uint64 `json:"late"`
	Failed       uint64 `json:"failed"`
	NotRun       uint64 `json:"not-run"`
	Unknown      uint64 `json:"unknown"`
	InProgress   uint64 `json:"open"`
	GateRuns     uint64 `json:"ran"`
	Retries      uint64 `json:"retries"`
	Unreconciled uint64 `json:"unreconciled"`
}

// NewTotalsDocument converts a summary to a TotalsDocument.
func NewTotalsDocument(summary *totals.Summary) TotalsDocument {
	doc := TotalsDocument{
		Day: summary.Day, Closed: !summary.Closed.IsZero(), Trusted: summary.Trusted(), Missing: summary.Missing,
	}
	for _, row := range summary.Rows {
		doc.Rows = append(doc.Rows, TotalsRow{
			Service: row.Row.Service, Calls: row.Row.Calls, Answered: row.Row.Answered,
			OnTime: row.Row.OnTime, Late: row.Row.Late, Failed: row.Row.Failed,
			NotRun: row.Row.NotRun, Unknown: row.Row.Unknown, InProgress: row.Row.InProgress(),
			GateRuns: row.Row.GateRuns, Retries: row.Row.Retries, Unreconciled: row.Unreconciled,
		})
	}
	return doc
}

// Node is the part of a node that the operators' interface uses.
type Node interface {
	Ready() error
	Status(ctx context.Context) Status
	State() *note.State
	Totals(ctx context.Context, day string) (*totals.Summary, error)
	Publish(ctx context.Context, n *note.Note, base uint64, amends string) (*note.State, error)
	Withdraw(ctx context.Context, id string) (*note.State, error)
}

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	KindUnreachable Kind = "unreachable"
	KindRefused     Kind = "refused"
)

// Error is the error type of this package.
type Error struct {
	op   string
	kind Kind
	err  error
}

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string {
	if e.kind == KindRefused {
		return e.err.Error()
	}
	return fmt.Sprintf("%s: %s: %v", e.op, e.kind, e.err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }
