package operators

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const clientTimeout = 30 * time.Second

// Client is a client of a node's operators' interface.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a Client of the node with the given operators' address.
func NewClient(address string) *Client {
	return &Client{base: "http://" + address, http: &http.Client{Timeout: clientTimeout}}
}

// Status returns the status of the fleet in the node's view.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	var result Status
	return &result, c.do(ctx, http.MethodGet, "/v1/status", nil, nil, &result)
}

// Totals returns the totals of a day.
func (c *Client) Totals(ctx context.Context, day string) (*TotalsDocument, error) {
	var result TotalsDocument
	return &result, c.do(ctx, http.MethodGet, "/v1/totals/"+url.PathEscape(day), nil, nil, &result)
}

// Notes returns the release notes that the configuration was built from, latest
// first.
func (c *Client) Notes(ctx context.Context) ([]NoteStatus, error) {
	var result []NoteStatus
	return result, c.do(ctx, http.MethodGet, "/v1/notes", nil, nil, &result)
}

// Note returns the release note with the given ID.
func (c *Client) Note(ctx context.Context, id string) (*NoteStatus, error) {
	var result NoteStatus
	return &result, c.do(ctx, http.MethodGet, "/v1/notes/"+url.PathEscape(id), nil, nil, &result)
}

// PublishRequest is a release note and how to publish it.
type PublishRequest struct {
	// Name is the name of the note's file in error messages.
	Name string
	// Data is the note in TOML.
	Data []byte
	// Base is the revision that the note is based on, or nil for the revision in
	// force at the node.
	Base *uint64
	// Amends is the ID of the note that this one replaces, or "".
	Amends string
	// DryRun requests the changes without publishing.
	DryRun bool
}

// Publish publishes a release note.
func (c *Client) Publish(ctx context.Context, request PublishRequest) (*PublishResult, error) {
	query := url.Values{"name": {request.Name}}
	if request.Base != nil {
		query.Set("base", strconv.FormatUint(*request.Base, 10))
	}
	if request.Amends != "" {
		query.Set("amends", request.Amends)
	}
	if request.DryRun {
		query.Set("dry-run", "true")
	}
	var result PublishResult
	return &result, c.do(ctx, http.MethodPost, "/v1/notes", query, request.Data, &result)
}

// Withdraw reverts the changes of a release note.
func (c *Client) Withdraw(ctx context.Context, id string) (*PublishResult, error) {
	var result PublishResult
	return &result, c.do(ctx, http.MethodDelete, "/v1/notes/"+url.PathEscape(id), nil, nil, &result)
}

func (c *Client) do(ctx context.Context, method, path string, query url.Values, body []byte, target any) error {
	address := c.base + path
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return &Error{op: method, kind: KindUnreachable, err: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &Error{op: method, kind: KindUnreachable, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 64<<10))
		return &Error{op: method, kind: KindRefused, err: eris.New(strings.TrimSpace(string(text)))}
	}
	if err := json.NewDecoder(response.Body).Decode(target); err != nil {
		return &Error{op: method, kind: KindUnreachable, err: err}
	}
	return nil
}
